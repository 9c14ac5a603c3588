use {
    banyantrestle::{
        context::ServiceName,
        sidecar::{
            FailureCause, HopContext, HopFormat, MAX_CALL_DEPTH, PressureReport, QueuePressure,
            ServicePressure, TargetLoad, TreeCost,
        },
        time::{ClockId, ClockReading, TimePoint},
    },
    proptest::{option, prelude::*},
    std::time::Duration,
};

fn service(name: &str) -> ServiceName {
    ServiceName::new(name).expect("a valid name")
}

proptest! {
    #[test]
    fn hop_context_round_trips(
        rank: u8,
        age in 0..100_000_u64,
        remaining in 0..100_000_u64,
        depth in 0..=MAX_CALL_DEPTH,
        earlier_attempts: u8,
        is_inherited_retry: bool,
        is_idempotent: bool,
        account in option::of(".{1,40}"),
        validity in option::of(0..100_000_u64),
    ) {
        let now = TimePoint::from_millis(200_000);
        let context = HopContext {
            service: service("a"),
            caller: service("b"),
            rank,
            root_start: now - Duration::from_millis(age),
            deadline: now + Duration::from_millis(remaining),
            depth,
            earlier_attempts,
            is_inherited_retry,
            is_idempotent,
            account: account.map(Into::into),
            key_valid_until: validity.map(|validity| now + Duration::from_millis(validity)),
        };
        let sent = reading(now);
        let text = context.encode(sent, HopFormat::WithAccount);
        prop_assert_eq!(HopContext::decode(&text, now), Some(context));
        prop_assert_eq!(HopContext::decode_clock(&text), Some(sent));
    }

    #[test]
    fn arbitrary_headers_decode_without_panic(text in ".{0,300}") {
        let now = TimePoint::ORIGIN;
        let _ = HopContext::decode(&text, now);
        let _ = HopContext::decode_clock(&text);
        let _ = TargetLoad::decode(&text);
        let _ = FailureCause::decode(&text);
        prop_assert!(TreeCost::decode(&text).services().len() <= 4);
        prop_assert!(PressureReport::decode(&text).services().len() <= 2);
    }
}

/// A context of older and of later builds, as recorded between sidecars.
const RECORDED_CONTEXTS: [(&str, &str); 5] = [
    ("without accounts", "deep;shop;254;120;880;1;0;ri"),
    ("with accounts", "deep;shop;254;120;880;1;0;ri;;"),
    ("with another field", "deep;shop;254;120;880;1;0;ri;;;later"),
    ("with a clock", "deep;shop;254;120;880;1;0;ri;;;c10c;200000"),
    (
        "with a later field",
        "deep;shop;254;120;880;1;0;ri;;;c10c;200000;later",
    ),
];

fn reading(time: TimePoint) -> ClockReading {
    ClockReading {
        clock: ClockId::new(0xc10c),
        time,
    }
}

fn recorded_context(now: TimePoint) -> HopContext {
    HopContext {
        service: service("deep"),
        caller: service("shop"),
        rank: 254,
        root_start: now - Duration::from_millis(120),
        deadline: now + Duration::from_millis(880),
        depth: 1,
        earlier_attempts: 0,
        is_inherited_retry: true,
        is_idempotent: true,
        account: None,
        key_valid_until: None,
    }
}

#[test]
fn contexts_of_older_and_later_builds_are_read() {
    let now = TimePoint::from_millis(200_000);
    for (build, text) in RECORDED_CONTEXTS {
        let context = HopContext::decode(text, now);
        assert_eq!(context, Some(recorded_context(now)), "{build}");
    }
}

#[test]
fn contexts_are_written_as_older_builds_read_them() {
    let now = TimePoint::from_millis(200_000);
    let context = recorded_context(now);
    let formats = [
        (HopFormat::WithoutAccount, "without accounts"),
        (HopFormat::WithAccount, "with a clock"),
    ];
    for (format, build) in formats {
        let recorded = RECORDED_CONTEXTS.iter().find(|(name, _)| *name == build);
        let (_, text) = recorded.expect("a recorded context");
        assert_eq!(context.encode(reading(now), format), *text, "{build}");
    }
}

#[test]
fn clocks_are_read_from_contexts_that_have_one() {
    let now = TimePoint::from_millis(200_000);
    for (build, text) in RECORDED_CONTEXTS {
        let has_clock = text.contains("c10c");
        let expected = has_clock.then(|| reading(now));
        assert_eq!(HopContext::decode_clock(text), expected, "{build}");
    }
    for text in [
        "deep;shop;254;120;880;1;0;ri;;;later",
        "a;b;1;0;100;0;0;;;;x;1",
        ";;;;;;;;;;1;-1",
    ] {
        assert_eq!(HopContext::decode_clock(text), None, "{text:?}");
    }
}

#[test]
fn failure_cause_round_trips() {
    let cause = FailureCause::new(&service("deep"), "no-repeats");
    assert_eq!(FailureCause::decode(&cause.to_string()), Some(cause));
    let cases = [
        "",
        "deep",
        "deep=",
        "=shed",
        "deep=Shed",
        "deep=a b",
        "A=shed",
    ];
    for text in cases {
        assert_eq!(FailureCause::decode(text), None, "{text:?}");
    }
    assert_eq!(
        FailureCause::decode(&format!("deep={}", "x".repeat(33))),
        None
    );
}

#[test]
fn contexts_out_of_bounds_are_rejected() {
    let now = TimePoint::ORIGIN;
    let cases = [
        "",
        "a;b;1;0;100;0;0;;",
        "a;b;1;0;100;33;0;;;",
        "a;b;1;0;100;0;0;x;;",
        "a;b;256;0;100;0;0;;;",
        "a;b;1;0;3600001;0;0;;;",
        "A;b;1;0;100;0;0;;;",
        "a;b;1;0;100;0;0;;x=y;",
        "a;b;1;0;100;0;0;;;x",
        "a;b;1;0;100;0;0;;;3600001",
    ];
    for text in cases {
        assert_eq!(HopContext::decode(text, now), None, "{text:?}");
    }
    assert!(HopContext::decode("a;b;1;0;100;0;0;;;", now).is_some());
}

#[test]
fn tree_cost_sums_by_service() {
    let mut child_cost = TreeCost::default();
    child_cost.add(&service("deep"), Duration::from_millis(20), 1.5);
    child_cost.add(&service("deep"), Duration::from_millis(30), 0.5);
    let mut tree_cost = TreeCost::default();
    tree_cost.add(&service("top"), Duration::from_millis(100), 0.1);
    tree_cost.merge(&child_cost);
    let decoded = TreeCost::decode(&tree_cost.encode());
    let found: Vec<_> = decoded
        .services()
        .iter()
        .map(|cost| {
            (
                cost.service.as_str(),
                cost.slot_time.as_millis(),
                cost.pressure,
            )
        })
        .collect();
    assert_eq!(found, [("deep", 50, 0.5), ("top", 100, 0.1)]);
}

#[test]
fn pressure_report_keeps_only_the_most_loaded_services() {
    let known = |name: &str, pressure, age| ServicePressure {
        service: service(name),
        pressure: QueuePressure {
            total: pressure,
            urgent: pressure / 2.0,
        },
        age: Duration::from_millis(age),
    };
    let all = [
        known("calm", 0.3, 10),
        known("hot", 1.2, 10),
        known("hotter", 2.0, 10),
        known("stale", 3.0, 5_000),
        known("warm", 0.8, 10),
    ];
    let report = PressureReport::new(all.into_iter());
    let decoded = PressureReport::decode(&report.encode());
    let names: Vec<_> = decoded
        .services()
        .iter()
        .map(|known| known.service.as_str())
        .collect();
    assert_eq!(names, ["hotter", "hot"]);
    let hottest = decoded.services()[0].pressure;
    assert!((hottest.total - 2.0).abs() < 0.01 && (hottest.urgent - 1.0).abs() < 0.01);
}
