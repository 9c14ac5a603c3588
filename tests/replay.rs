//! Tests the replay of the recorded traces, and of mismatched, invalid and corrupted traces.

use {
    banyantrestle::replay::{self, MAX_LINE_BYTES, ReplayError},
    proptest::{collection::vec, prelude::*, test_runner::RngSeed},
    std::{fs, path::PathBuf},
};

const HEADER: &str = concat!(
    r#"{"at_us":0,"event":{"guard":{"name":"t","slots":1,"#,
    r#""queue_target_ms":20,"queue_interval_ms":100}}}"#,
);

fn trace_paths() -> Vec<PathBuf> {
    let directory = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("traces");
    let mut paths: Vec<PathBuf> = fs::read_dir(directory)
        .expect("the traces directory is readable")
        .map(|entry| entry.expect("a readable entry").path())
        .collect();
    paths.sort();
    paths
}

fn offer_line(at_us: u64, call: u64, outcome: &str) -> String {
    format!(
        r#"{{"at_us":{at_us},"event":{{"offer":{{"call":{call},"priority":65536,"depth":0,"deadline_us":9000000}}}},"outcome":{outcome}}}"#
    )
}

fn join_lines(lines: &[&str]) -> String {
    lines.join("\n")
}

#[test]
fn recorded_traces_reproduce_their_expected_outcomes() {
    let paths = trace_paths();
    let report = replay::replay_files(&paths).expect("the traces are valid");
    assert!(report.is_match(), "{report}");
    for deployment in ["kereru-", "kita-"] {
        let is_of_deployment = |path: &&PathBuf| path.to_string_lossy().contains(deployment);
        assert!(
            paths.iter().filter(is_of_deployment).count() >= 4,
            "{deployment}"
        );
    }
}

#[test]
fn a_mismatch_names_its_line() {
    let offer = offer_line(10, 1, r#"[{"queue":1}]"#);
    let text = join_lines(&[HEADER, &offer]);
    let report = replay::replay_trace("t", text.as_bytes()).expect("a valid trace");
    assert_eq!(report.mismatch_count, 1);
    let mismatch = &report.mismatches[0];
    assert_eq!((mismatch.trace.as_str(), mismatch.line), ("t", 2));
    assert_eq!(mismatch.expected, "[Queue(1)]");
    assert_eq!(mismatch.actual, "[Start(1)]");
}

#[test]
fn a_violated_expectation_is_a_mismatch() {
    let running = offer_line(10, 1, r#"[{"start":1}]"#);
    let expect = r#"{"at_us":20,"event":{"expect":{"running":{"most":0}}}}"#;
    let text = join_lines(&[HEADER, &running, expect]);
    let report = replay::replay_trace("t", text.as_bytes()).expect("a valid trace");
    assert_eq!(report.mismatches[0].actual, "1 running");
}

#[test]
fn finishing_a_queued_call_is_a_mismatch() {
    let running = offer_line(10, 1, r#"[{"start":1}]"#);
    let queued = offer_line(11, 2, r#"[{"queue":2}]"#);
    let finish = r#"{"at_us":20,"event":{"finish":{"call":2,"kind":"success"}},"outcome":[]}"#;
    let text = join_lines(&[HEADER, &running, &queued, finish]);
    let report = replay::replay_trace("t", text.as_bytes()).expect("a valid trace");
    assert_eq!(report.mismatches[0].actual, "a call that is not running");
}

#[test]
fn errors_name_the_line_and_field() {
    let unknown = r#"{"at_us":5,"event":{"finish":{"call":"x","kind":"success"}}}"#;
    let cases = [
        (
            join_lines(&[HEADER, unknown]),
            "line 2: field event.finish.call:",
        ),
        (
            join_lines(&[HEADER, r#"{"at_us":5}"#]),
            "line 2: field .: missing field `event`",
        ),
        (join_lines(&[HEADER, "", "{"]), "line 3: field "),
        (
            join_lines(&[HEADER, r#"{"at_us":5,"event":"tick"} x"#]),
            "line 2: field .:",
        ),
        (
            join_lines(&[r#"{"at_us":5,"event":"tick"}"#]),
            "line 1: event before the first guard line",
        ),
        (
            join_lines(&[HEADER, &offer_line(9, 1, "[]"), &offer_line(8, 2, "[]")]),
            "line 3: at_us 8 is earlier than",
        ),
        (
            join_lines(&[HEADER, &offer_line(9, 1, "[]"), &offer_line(9, 1, "[]")]),
            "line 3: call 1 was already offered",
        ),
        ("\u{1}\u{ff}".into(), "line 1: field "),
    ];
    for (text, expected) in cases {
        let error = replay::replay_trace("t", text.as_bytes()).expect_err(&text);
        assert!(
            error.to_string().starts_with(expected),
            "{error}, not {expected}"
        );
    }
}

#[test]
fn a_line_over_the_byte_limit_is_rejected() {
    let text = "x".repeat(MAX_LINE_BYTES * 4);
    let error = replay::replay_trace("t", text.as_bytes()).expect_err("too long");
    assert!(matches!(error, ReplayError::LineTooLong { line: 1, .. }));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(9),
        ..ProptestConfig::default()
    })]

    #[test]
    fn arbitrary_bytes_give_an_error_or_a_report(bytes in vec(any::<u8>(), 0..512)) {
        let _ = replay::replay_trace("t", bytes.as_slice());
    }

    #[test]
    fn a_corrupted_trace_gives_an_error_or_a_report(
        corruptions in vec((0_usize..512, any::<u8>()), 1..4),
    ) {
        let running = offer_line(10, 1, r#"[{"start":1}]"#);
        let finish = r#"{"at_us":20,"event":{"finish":{"call":1,"kind":"success"}},"outcome":[]}"#;
        let mut bytes = join_lines(&[HEADER, &running, finish]).into_bytes();
        for (position, byte) in corruptions {
            let index = position % bytes.len();
            bytes[index] = byte;
        }
        let _ = replay::replay_trace("t", bytes.as_slice());
    }
}
