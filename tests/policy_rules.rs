//! Validation of policy documents, classification of calls, and compression of policies.

use {
    banyantrestle::{
        context::ServiceName,
        jsonc::DocumentText,
        policy::{
            ActivePolicy, CompressedPolicy, CompressionError, MAX_COMPRESSED_POLICY_BYTES,
            MAX_POLICY_ROW_BYTES, PolicyDocument, VersionedPolicy, parse,
        },
    },
    flate2::{Compression, write::DeflateEncoder},
    proptest::{collection::vec, prelude::*, test_runner::RngSeed},
    serde_json::{Value, json},
    std::io::Write,
};

const KERERU_POLICY: &str = include_str!("../examples/policy/kereru.jsonc");
const KITA_POLICY: &str = include_str!("../examples/policy/kita.jsonc");

/// Policy with an idempotent default class, so that a purchase that misses its route is detected.
const IDEMPOTENT_DEFAULT_POLICY: &str = r#"{
    "deployment": "test",
    "classes": [
        { "name": "purchase", "weight": 9, "deadline_ms": 1000, "non_idempotent": true },
        { "name": "lookup", "weight": 5, "deadline_ms": 1000 },
        { "name": "browse", "weight": 1, "deadline_ms": 1000 }
    ],
    "routes": [
        { "service": "billing", "path": "/purchases/terms", "class": "browse" },
        { "service": "billing", "method": "POST", "path": "/purchases", "class": "purchase" },
        { "service": "billing", "path": "/lookup", "class": "lookup" },
        { "service": "billing", "path": "/guide", "class": "browse" }
    ],
    "default_class": "browse",
    "retry": { "per_request": 3, "ratio_percent": 10 }
}"#;

fn proptest_config() -> ProptestConfig {
    ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(71),
        ..ProptestConfig::default()
    }
}

fn parse_document(text: &str) -> PolicyDocument {
    parse(&DocumentText::new("test", text.as_bytes()).unwrap()).unwrap()
}

fn compile_policy(text: &str) -> ActivePolicy {
    let document = parse_document(text);
    ActivePolicy::compile(VersionedPolicy {
        version: 1,
        document,
    })
    .unwrap()
}

fn class_of(policy: &ActivePolicy, service: &str, method: &str, path: &str) -> String {
    let service = ServiceName::new(service).unwrap();
    policy.classify(&service, method, path).name.to_string()
}

#[test]
fn first_matching_route_determines_the_class() {
    let (kereru, kita) = (compile_policy(KERERU_POLICY), compile_policy(KITA_POLICY));
    let cases = [
        (&kereru, "billing", "POST", "/purchases", "purchase"),
        (&kereru, "billing", "POST", "/purchases/7?x=1", "purchase"),
        (&kereru, "billing", "PUT", "/slots/9", "slot-change"),
        (&kereru, "billing", "GET", "/accounts/5", "account"),
        (&kereru, "depot", "GET", "/archives/big.zip", "download"),
        (&kereru, "catalogue", "GET", "/", "browse"),
        (&kereru, "nobody", "GET", "/", "browse"),
        (&kereru, "nobody", "POST", "/", "slot-change"),
        (&kita, "keysmith", "POST", "/keys", "key-encoding"),
        (&kita, "reserve", "GET", "/bookings/x", "lookup"),
        (&kita, "guidebox", "GET", "/guides/ski.pdf", "guide"),
        (
            &kita,
            "guidebox",
            "PATCH",
            "/guides/ski.pdf",
            "key-encoding",
        ),
    ];
    for (policy, service, method, path, class) in cases {
        let found = class_of(policy, service, method, path);
        assert_eq!(found, class, "{service} {method} {path}");
    }
}

#[test]
fn ranks_follow_class_order() {
    let kereru = compile_policy(KERERU_POLICY);
    let ranks: Vec<_> = kereru.rules().iter().map(|rule| rule.rank).collect();
    assert_eq!(ranks, [6, 5, 4, 3, 2, 1]);
}

#[test]
fn built_in_policy_treats_unsafe_methods_as_non_idempotent() {
    let initial = ActivePolicy::built_in();
    assert!(initial.document.validate().is_ok());
    let service = ServiceName::new("any").unwrap();
    for method in ["POST", "PUT", "PATCH", "DELETE", "post", "FROB"] {
        assert!(initial.classify(&service, method, "/x").non_idempotent);
    }
    assert!(!initial.classify(&service, "GET", "/x").non_idempotent);
}

#[test]
fn every_spelling_of_a_purchase_path_is_non_idempotent() {
    let policy = compile_policy(IDEMPOTENT_DEFAULT_POLICY);
    let service = ServiceName::new("billing").unwrap();
    for path in [
        "/purchases",
        "/purchases/",
        "/purchases/7",
        "//purchases",
        "/./purchases",
        "/x/../purchases",
        "/../purchases",
        "/guide/../purchases",
        "/purchases/terms/../confirm",
        "/%70urchases",
        "/%2570urchases",
        "/x/%2e%2e/purchases",
        "/x%2f..%2fpurchases",
        "/purchases%2f..%2fguide",
        "\\purchases",
        "/x\\..\\purchases",
        "/PURCHASES",
        "/purchases;v=1",
        "/purchases;v=1/terms/..",
        "/purchases%20",
        "/purchases.",
        "/%c0%afpurchases",
        "/purchases%00",
        "/%25252525252570urchases",
        "/purchases?to=/guide",
        "/purchases#/guide",
        "purchases",
    ] {
        let rule = policy.classify(&service, "POST", path);
        assert!(rule.non_idempotent, "{path} is {}", rule.name);
    }
    let rule = policy.classify(&service, "post", "/purchases");
    assert!(rule.non_idempotent);
}

#[test]
fn prefixes_match_whole_segments_and_respelling_never_raises_rank() {
    let policy = compile_policy(IDEMPOTENT_DEFAULT_POLICY);
    for (path, class) in [
        ("/purchasesx", "browse"),
        ("/purchases/terms", "browse"),
        ("/lookup", "lookup"),
        ("/lookups", "browse"),
        ("/guide/../lookup", "browse"),
        ("/lookup/../guide", "browse"),
        ("/LOOKUP", "browse"),
        ("/lookup/%41", "lookup"),
    ] {
        assert_eq!(class_of(&policy, "billing", "POST", path), class, "{path}");
    }
}

#[test]
fn validation_errors_name_the_field() {
    let cases: [(&str, Value, &str); 15] = [
        (
            "/deployment",
            json!("No"),
            "deployment: must be 1 to 64 characters",
        ),
        ("/classes", json!([]), "classes: 0 classes are not 1 to 32"),
        (
            "/classes/2/deadline_ms",
            json!(0),
            "classes[2].deadline_ms: 0 is not 1 to 600000",
        ),
        (
            "/classes/0/weight",
            json!(1001),
            "classes[0].weight: 1001 is not 1 to 1000",
        ),
        (
            "/classes/1/name",
            json!("purchase"),
            "classes[1].name: class purchase is already defined",
        ),
        (
            "/classes/0/key_window_s",
            json!(0),
            "classes[0].key_window_s: 0 is not",
        ),
        (
            "/routes/0/class",
            json!("none"),
            "routes[0].class: there is no class none",
        ),
        (
            "/routes/0/path",
            json!("x"),
            "routes[0].path: does not start with /",
        ),
        (
            "/routes/0/path",
            json!("/a/../b"),
            "routes[0].path: does not start with /",
        ),
        (
            "/routes/0/path",
            json!("/a%20"),
            "routes[0].path: does not start with /",
        ),
        (
            "/routes/0/method",
            json!("get"),
            "routes[0].method: must be 1 to 16 characters from A-Z",
        ),
        (
            "/routes/1/path",
            json!("/purchases"),
            "routes[1].path: never matches, since routes[0]",
        ),
        (
            "/default_class",
            json!("none"),
            "default_class: there is no class none",
        ),
        (
            "/retry/ratio_percent",
            json!(101),
            "retry.ratio_percent: 101 is not 0 to 100",
        ),
        (
            "/overload/queue_interval_ms",
            json!(5),
            "overload.queue_interval_ms: 5 is less",
        ),
    ];
    let base = serde_json::to_value(parse_document(KERERU_POLICY)).unwrap();
    for (field, value, message) in cases {
        let mut changed = base.clone();
        *changed.pointer_mut(field).unwrap() = value;
        if message.contains("never matches") {
            changed["routes"][1]["method"] = json!("POST");
        }
        let changed: PolicyDocument = serde_json::from_value(changed).unwrap();
        let errors = changed.validate().unwrap_err();
        let is_reported = errors
            .iter()
            .any(|error| error.to_string().starts_with(message));
        assert!(is_reported, "{message}: {errors:?}");
    }
}

#[test]
fn oversized_lists_are_rejected() {
    let mut oversized = parse_document(KERERU_POLICY);
    let class = oversized.classes[0].clone();
    oversized.classes.resize(33, class);
    let route = oversized.routes[0].clone();
    oversized.routes.resize(2_001, route);
    let errors = oversized.validate().unwrap_err();
    let fields: Vec<_> = errors.iter().map(|error| error.field.as_str()).collect();
    assert!(fields.contains(&"classes") && fields.contains(&"routes"));
}

#[test]
fn compressed_policies_round_trip_within_size_limits() {
    let policy = VersionedPolicy {
        version: 4,
        document: parse_document(KERERU_POLICY),
    };
    let compressed = CompressedPolicy::compress(&policy).unwrap();
    assert_eq!(compressed.decompress().unwrap(), policy);
    let truncated = CompressedPolicy::from_bytes(compressed.as_bytes()[..9].to_vec());
    assert!(truncated.decompress().is_err());
    let oversized = CompressedPolicy::from_bytes(vec![0; MAX_COMPRESSED_POLICY_BYTES + 1]);
    assert!(matches!(
        oversized.decompress(),
        Err(CompressionError::TooLong(MAX_COMPRESSED_POLICY_BYTES))
    ));
    let mut zip_bomb = DeflateEncoder::new(Vec::new(), Compression::best());
    zip_bomb
        .write_all(&vec![b' '; 64 * MAX_POLICY_ROW_BYTES])
        .unwrap();
    let zip_bomb = CompressedPolicy::from_bytes(zip_bomb.finish().unwrap());
    assert!(zip_bomb.as_bytes().len() < MAX_COMPRESSED_POLICY_BYTES);
    assert!(matches!(
        zip_bomb.decompress(),
        Err(CompressionError::TooLong(MAX_POLICY_ROW_BYTES))
    ));
}

/// Changes the spelling of a path in a way that a lenient server resolves to the same resource.
fn respell_path(path: &str, kind: u8, position: usize) -> String {
    let slashes: Vec<_> = path.match_indices('/').map(|(at, _)| at).collect();
    let slash = slashes[position % slashes.len()];
    let letters: Vec<_> = path
        .char_indices()
        .filter(|(_, letter)| letter.is_ascii_lowercase())
        .collect();
    let (letter_at, letter) = letters[position % letters.len()];
    let with = |at: usize, end: usize, text: &str| format!("{}{text}{}", &path[..at], &path[end..]);
    match kind {
        0 => with(slash, slash + 1, "//"),
        1 => with(slash, slash + 1, "/./"),
        2 => with(slash, slash + 1, "/guide/../"),
        3 => with(letter_at, letter_at + 1, &format!("%{:02x}", letter as u32)),
        4 => with(
            letter_at,
            letter_at + 1,
            &letter.to_ascii_uppercase().to_string(),
        ),
        5 => with(slash, slash + 1, "/%2e/"),
        6 => format!("{path};a=b"),
        _ => with(slash, slash + 1, "/x/%2E%2e/"),
    }
}

proptest! {
    #![proptest_config(proptest_config())]

    #[test]
    fn respelled_purchases_stay_non_idempotent(respellings in vec((0_u8..8, 0_usize..40), 0..4)) {
        let policy = compile_policy(IDEMPOTENT_DEFAULT_POLICY);
        let service = ServiceName::new("billing").unwrap();
        let mut path = String::from("/purchases/confirm");
        for (kind, position) in respellings {
            path = respell_path(&path, kind, position);
        }
        let rule = policy.classify(&service, "POST", &path);
        prop_assert!(rule.non_idempotent, "{path} is {}", rule.name);
    }

    #[test]
    fn arbitrary_calls_get_a_class(method in ".{0,12}", path in ".{0,80}") {
        let policy = compile_policy(IDEMPOTENT_DEFAULT_POLICY);
        let service = ServiceName::new("billing").unwrap();
        prop_assert!(policy.classify(&service, &method, &path).rank >= 1);
    }

    #[test]
    fn arbitrary_text_does_not_panic(
        text in ".{0,200}",
        position in 0_usize..900,
        byte in any::<u8>(),
    ) {
        let mut bytes = KITA_POLICY.as_bytes().to_vec();
        let at = position % bytes.len();
        bytes[at] = byte;
        for source in [text.as_bytes(), &bytes, &bytes[..at]] {
            let _ = CompressedPolicy::from_bytes(source.to_vec()).decompress();
            if let Ok(source) = DocumentText::new("any", source) {
                let _ = parse(&source);
            }
        }
    }
}
