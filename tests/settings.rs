//! Settings files: each error is one line with file, line and field.

use {
    banyantrestle::{
        jsonc::DocumentText,
        settings::{DaemonSettings, parse},
    },
    proptest::{prelude::*, test_runner::RngSeed},
};

const KERERU_SETTINGS: &str = include_str!("../examples/settings/kereru-akl-a.jsonc");
const KITA_SETTINGS: &str = include_str!("../examples/settings/kita-sapporo.jsonc");

fn parse_settings(text: &str) -> Result<DaemonSettings, String> {
    let text = DocumentText::new("s.jsonc", text.as_bytes());
    let text = text.map_err(|error| error.to_string())?;
    parse(&text).map_err(|error| error.to_string())
}

#[test]
fn example_settings_are_valid() {
    let kereru = parse_settings(KERERU_SETTINGS).unwrap();
    assert_eq!(kereru.data_centre, "akl-a");
    assert_eq!(kereru.limits.shutdown_s, 120);
    assert_eq!(parse_settings(KITA_SETTINGS).unwrap().limits.shutdown_s, 60);
}

/// Text of the example, its replacement, and the start of the resulting error line.
const INVALID_SETTINGS: [(&str, &str, &str); 19] = [
    (
        r#""region": "nz-north""#,
        r#""region": "NZ""#,
        "s.jsonc:3: region: must be 1 to 64 characters",
    ),
    (
        r#""region""#,
        r#""zone""#,
        "s.jsonc:3: zone: unknown field `zone`",
    ),
    (
        "0.0.0.0:8080",
        "akl:8080",
        "s.jsonc:6: listen.edge: invalid socket address syntax",
    ),
    (
        "127.0.0.1:7101",
        "10.20.1.11:7101",
        "s.jsonc:7: listen.local: is not a loopback",
    ),
    (
        "10.20.1.11:7102",
        "0.0.0.0:7102",
        "s.jsonc:8: listen.mesh: must be the address at which other daemons reach",
    ),
    (
        "11:7103\",",
        "11:7102\",",
        "s.jsonc:9: listen.gossip: port 7102 is already used by listen.mesh",
    ),
    (
        "11:7104",
        "11:8080",
        "s.jsonc:10: listen.admin: port 8080 is already used by listen.edge",
    ),
    (
        r#""timeout_ms": 500"#,
        r#""timeout_ms": 0"#,
        "s.jsonc:14: platform.timeout_ms: 0 is not",
    ),
    (
        r#""timeout_ms": 500"#,
        r#""timeout_ms": "x""#,
        "s.jsonc:14: platform.timeout_ms: invalid",
    ),
    (
        "10.21.1.11:7103",
        "10.21.1.11:0",
        "s.jsonc:17: peers[1]: 10.21.1.11:0 cannot",
    ),
    (
        "replace-with-32-random-characters",
        "",
        "s.jsonc:19: shared_secret: must be 16 to",
    ),
    (
        "replace-with-32-random-characters",
        "short",
        "s.jsonc:19: shared_secret: must be 16 to",
    ),
    (
        "replace-with-32-random-characters",
        "aaaaaaaaaaaaaaaaaaaaaaaa",
        "s.jsonc:19: shared_secret: has fewer than 6 distinct characters",
    ),
    (
        "replace-with-another-random-token",
        "replace-with-32-random-characters",
        "s.jsonc:20: admin_token: is the same",
    ),
    (
        r#""info""#,
        r#""loud""#,
        "s.jsonc:21: log.level: is not one of error, warning",
    ),
    (
        "1024",
        "0",
        "s.jsonc:24: limits.connections: 0 is not 1 to 65536",
    ),
    (
        r#""shutdown_s""#,
        r#""shutdown""#,
        "s.jsonc:26: limits.shutdown: unknown field",
    ),
    (
        r#""admin": "10.20.1.11:7104""#,
        r#""edge": "1.1.1.1:1""#,
        "s.jsonc:10: listen: duplicate field `edge`",
    ),
    (
        ",\n    \"admin\": \"10.20.1.11:7104\"",
        "",
        "s.jsonc:10: listen: missing field `admin`",
    ),
];

#[test]
fn errors_name_line_and_field() {
    for (from, to, message) in INVALID_SETTINGS {
        assert!(KERERU_SETTINGS.contains(from), "{from}");
        let error = parse_settings(&KERERU_SETTINGS.replacen(from, to, 1)).unwrap_err();
        let is_reported = error.lines().any(|line| line.starts_with(message));
        assert!(is_reported, "{message}\n{error}");
    }
}

#[test]
fn all_out_of_range_values_are_reported_together() {
    let text = KERERU_SETTINGS
        .replace("1024", "0")
        .replace("\"timeout_ms\": 500", "\"timeout_ms\": 0");
    let error = parse_settings(&text).unwrap_err();
    let lines: Vec<_> = error.lines().collect();
    assert_eq!(lines.len(), 2, "{error}");
    assert!(lines[0].starts_with("s.jsonc:14: ") && lines[1].starts_with("s.jsonc:24: "));
}

#[test]
fn secrets_are_absent_from_errors_and_debug_output() {
    let settings = parse_settings(KERERU_SETTINGS).unwrap();
    let debug = format!("{settings:?}");
    assert!(!debug.contains("replace-with"), "{debug}");
    for (from, to) in [
        (r#""replace-with-32-random-characters""#, "987654321"),
        (r#""replace-with-another-random-token""#, "[987654321]"),
        ("replace-with-32-random-characters", "987654321"),
    ] {
        let error = parse_settings(&KERERU_SETTINGS.replacen(from, to, 1)).unwrap_err();
        assert!(!error.contains("987654321"), "{error}");
    }
}

#[test]
fn malformed_text_is_rejected() {
    for text in [
        "",
        "{",
        "[]",
        "null",
        "{} {}",
        "/* no end",
        "{\"region\": \"x",
    ] {
        let error = parse_settings(text).unwrap_err();
        assert!(error.starts_with("s.jsonc"), "{text}: {error}");
    }
    let oversized = " ".repeat(1024 * 1024 + 1);
    assert!(
        parse_settings(&oversized)
            .unwrap_err()
            .contains("exceeds the limit of 1048576 bytes")
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(73),
        ..ProptestConfig::default()
    })]

    #[test]
    fn byte_changes_do_not_panic(at in any::<usize>(), byte in any::<u8>()) {
        let mut bytes = KERERU_SETTINGS.as_bytes().to_vec();
        let at = at % bytes.len();
        bytes[at] = byte;
        for source in [&bytes[..], &bytes[..at]] {
            if let Ok(text) = DocumentText::new("any", source) {
                let _ = parse(&text);
            }
        }
    }
}
