//! Values of a policy document, and the class that it gives to a call.

use {
    banyantrestle::{
        context::ServiceName,
        jsonc::DocumentText,
        policy::{
            ActivePolicy, MAX_PACK_BYTES, MAX_ROW_BYTES, PackError, PolicyDocument, PolicyPack,
            VersionedPolicy, parse,
        },
    },
    flate2::{Compression, write::DeflateEncoder},
    proptest::{collection::vec, prelude::*, test_runner::RngSeed},
    serde_json::{Value, json},
    std::io::Write,
};

const KERERU: &str = include_str!("../examples/policy/kereru.jsonc");
const KITA: &str = include_str!("../examples/policy/kita.jsonc");

/// The default class is idempotent, so that a purchase that misses its route shows.
const STRICT: &str = r#"{
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

fn config() -> ProptestConfig {
    ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(71),
        ..ProptestConfig::default()
    }
}

fn document(text: &str) -> PolicyDocument {
    parse(&DocumentText::new("test", text.as_bytes()).unwrap()).unwrap()
}

fn policy(text: &str) -> ActivePolicy {
    let document = document(text);
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
fn calls_get_the_class_of_their_first_route() {
    let (kereru, kita) = (policy(KERERU), policy(KITA));
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
fn ranks_follow_the_order_of_classes() {
    let kereru = policy(KERERU);
    let ranks: Vec<_> = kereru.rules().iter().map(|rule| rule.rank).collect();
    assert_eq!(ranks, [6, 5, 4, 3, 2, 1]);
}

#[test]
fn the_built_in_policy_takes_each_write_as_non_idempotent() {
    let initial = ActivePolicy::initial();
    assert!(initial.document.check().is_ok());
    let service = ServiceName::new("any").unwrap();
    for method in ["POST", "PUT", "PATCH", "DELETE", "post", "FROB"] {
        assert!(initial.classify(&service, method, "/x").non_idempotent);
    }
    assert!(!initial.classify(&service, "GET", "/x").non_idempotent);
}

#[test]
fn no_spelling_of_a_purchase_is_idempotent() {
    let strict = policy(STRICT);
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
        let rule = strict.classify(&service, "POST", path);
        assert!(rule.non_idempotent, "{path} is {}", rule.name);
    }
    let rule = strict.classify(&service, "post", "/purchases");
    assert!(rule.non_idempotent);
}

#[test]
fn a_prefix_ends_with_a_segment_and_no_spelling_gains_rank() {
    let strict = policy(STRICT);
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
        assert_eq!(class_of(&strict, "billing", "POST", path), class, "{path}");
    }
}

#[test]
fn errors_name_the_field() {
    let cases: [(&str, Value, &str); 15] = [
        ("/deployment", json!("No"), "deployment: is not 1 to 64"),
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
            "classes[1].name: class purchase stands twice",
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
            "routes[0].method: is not 1 to 16 of A-Z",
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
    let base = serde_json::to_value(document(KERERU)).unwrap();
    for (field, value, message) in cases {
        let mut changed = base.clone();
        *changed.pointer_mut(field).unwrap() = value;
        if message.contains("never matches") {
            changed["routes"][1]["method"] = json!("POST");
        }
        let changed: PolicyDocument = serde_json::from_value(changed).unwrap();
        let errors = changed.check().unwrap_err();
        let is_told = errors
            .iter()
            .any(|error| error.to_string().starts_with(message));
        assert!(is_told, "{message}: {errors:?}");
    }
}

#[test]
fn lists_over_their_bounds_are_refused() {
    let mut long = document(KERERU);
    let class = long.classes[0].clone();
    long.classes.resize(33, class);
    let route = long.routes[0].clone();
    long.routes.resize(2_001, route);
    let errors = long.check().unwrap_err();
    let fields: Vec<_> = errors.iter().map(|error| error.field.as_str()).collect();
    assert!(fields.contains(&"classes") && fields.contains(&"routes"));
}

#[test]
fn packed_policies_are_read_back_within_bounds() {
    let policy = VersionedPolicy {
        version: 4,
        document: document(KERERU),
    };
    let pack = PolicyPack::new(&policy).unwrap();
    assert_eq!(pack.open().unwrap(), policy);
    let cut = PolicyPack::from_bytes(pack.as_bytes()[..9].to_vec());
    assert!(cut.open().is_err());
    let long = PolicyPack::from_bytes(vec![0; MAX_PACK_BYTES + 1]);
    assert!(matches!(
        long.open(),
        Err(PackError::TooLong(MAX_PACK_BYTES))
    ));
    let mut bomb = DeflateEncoder::new(Vec::new(), Compression::best());
    bomb.write_all(&vec![b' '; 64 * MAX_ROW_BYTES]).unwrap();
    let bomb = PolicyPack::from_bytes(bomb.finish().unwrap());
    assert!(bomb.as_bytes().len() < MAX_PACK_BYTES);
    assert!(matches!(
        bomb.open(),
        Err(PackError::TooLong(MAX_ROW_BYTES))
    ));
}

/// One harmless change of the spelling of a path.
fn respell(path: &str, kind: u8, place: usize) -> String {
    let slashes: Vec<_> = path.match_indices('/').map(|(at, _)| at).collect();
    let slash = slashes[place % slashes.len()];
    let letters: Vec<_> = path
        .char_indices()
        .filter(|(_, letter)| letter.is_ascii_lowercase())
        .collect();
    let (letter_at, letter) = letters[place % letters.len()];
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
    #![proptest_config(config())]

    #[test]
    fn respelled_purchases_stay_non_idempotent(steps in vec((0_u8..8, 0_usize..40), 0..4)) {
        let strict = policy(STRICT);
        let service = ServiceName::new("billing").unwrap();
        let mut path = String::from("/purchases/confirm");
        for (kind, place) in steps {
            path = respell(&path, kind, place);
        }
        let rule = strict.classify(&service, "POST", &path);
        prop_assert!(rule.non_idempotent, "{path} is {}", rule.name);
    }

    #[test]
    fn any_call_gets_a_class(method in ".{0,12}", path in ".{0,80}") {
        let strict = policy(STRICT);
        let service = ServiceName::new("billing").unwrap();
        prop_assert!(strict.classify(&service, &method, &path).rank >= 1);
    }

    #[test]
    fn any_text_is_read_or_refused(text in ".{0,200}", cut in 0_usize..900, byte in any::<u8>()) {
        let mut bytes = KITA.as_bytes().to_vec();
        let at = cut % bytes.len();
        bytes[at] = byte;
        for source in [text.as_bytes(), &bytes, &bytes[..at]] {
            let _ = PolicyPack::from_bytes(source.to_vec()).open();
            if let Ok(source) = DocumentText::new("any", source) {
                let _ = parse(&source);
            }
        }
    }
}
