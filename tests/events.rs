//! The event log of one process, and the merged timeline of several processes.

use {
    banyantrestle::{
        context::{CallId, CallPriority, MAX_DEPTH, RequestId, RunOutcome, ServiceName},
        events::{
            EventFilter, EventKind, EventLog, EventName, EventPage, EventReason, EventRecord,
            EventTimeline, HybridClock, HybridStamp, MAX_CLOCK_DRIFT, MAX_REASON_LENGTH, PageError,
        },
        membership::MemberId,
        time::ProcessClock,
    },
    proptest::{collection::vec, prelude::*, test_runner::RngSeed},
    std::net::SocketAddr,
    strum::IntoEnumIterator,
};

const REQUEST: RequestId = RequestId::from_u128(0xfeed << 96 | 7);

fn fixed_seed_config() -> ProptestConfig {
    ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(74),
        ..ProptestConfig::default()
    }
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn member(port: u16) -> MemberId {
    MemberId {
        address: address(port),
        started_ms: 1,
    }
}

fn service() -> ServiceName {
    ServiceName::new("billing").unwrap()
}

fn call_started(call: u64, parent: Option<u64>) -> EventKind {
    EventKind::CallStarted {
        request: REQUEST,
        call: CallId::from_u64(call),
        parent: parent.map(CallId::from_u64),
        service: service(),
        peer: address(9_000),
        attempt: 1,
    }
}

fn call_completed(call: u64) -> EventKind {
    EventKind::CallCompleted {
        request: REQUEST,
        call: CallId::from_u64(call),
        service: service(),
        target: address(9_001),
        status: 200,
        outcome: RunOutcome::Run,
        elapsed_us: 12,
    }
}

fn threshold_changed() -> EventKind {
    EventKind::ThresholdChanged {
        service: service(),
        threshold: CallPriority::LOWEST,
    }
}

fn page(port: u16, events: Vec<(u64, u16, EventKind)>) -> EventPage {
    let records = (1..)
        .zip(events)
        .map(|(seq, (wall_ms, count, kind))| EventRecord {
            seq,
            stamp: HybridStamp { wall_ms, count },
            kind,
        });
    EventPage {
        process: member(port),
        dropped: 0,
        next: 9,
        events: records.collect(),
    }
}

#[test]
fn log_keeps_latest_events_and_counts_dropped_ones() {
    let log = EventLog::new(member(1), ProcessClock::start(), 3);
    for _ in 0..5 {
        log.record(threshold_changed());
    }
    let sequence_numbers = |page: &EventPage| {
        page.events
            .iter()
            .map(|event| event.seq)
            .collect::<Vec<_>>()
    };
    let first_page = log.since(0, 10);
    assert_eq!(
        (
            sequence_numbers(&first_page),
            first_page.dropped,
            first_page.next
        ),
        (vec![3, 4, 5], 2, 5)
    );
    let next_page = log.since(3, 1);
    assert_eq!(
        (
            sequence_numbers(&next_page),
            next_page.dropped,
            next_page.next
        ),
        (vec![4], 0, 4)
    );
    let last_page = log.since(5, 10);
    assert_eq!(
        (last_page.events.len(), last_page.dropped, last_page.next),
        (0, 0, 5)
    );
    assert_eq!(log.since(u64::MAX, 10).events, []);
}

#[test]
fn event_after_observed_stamp_has_later_stamp() {
    let clock = ProcessClock::start();
    let sender = EventLog::new(member(1), clock, 9);
    let receiver = EventLog::new(member(2), clock, 9);
    sender.record(threshold_changed());
    let stamp = sender.stamp();
    receiver.observe(stamp);
    receiver.record(threshold_changed());
    assert!(receiver.since(0, 9).events[0].stamp > stamp);
}

#[test]
fn stamp_beyond_max_drift_is_ignored() {
    let drift = u64::try_from(MAX_CLOCK_DRIFT.as_millis()).unwrap();
    let mut clock = HybridClock::default();
    let far = HybridStamp {
        wall_ms: 1_001 + drift,
        count: 0,
    };
    assert_eq!(clock.observe(far, 1_000).wall_ms, 1_000);
    assert!(clock.observe(far, 1_001) > far);
}

#[test]
fn event_kind_is_serialized_under_its_name() {
    for name in EventName::iter() {
        let text = name.to_string();
        assert_eq!(text.parse(), Ok(name));
    }
    let json = serde_json::to_value(call_started(3, Some(2))).unwrap();
    assert_eq!(json["kind"], "call-started");
    assert_eq!(json["request"], "0000feed000000000000000000000007");
    assert_eq!(json["parent"], "0000000000000002");
}

#[test]
fn page_is_unchanged_by_json_round_trip() {
    let page = page(
        1,
        vec![
            (5, 0, call_started(3, None)),
            (5, 1, call_completed(3)),
            (6, 0, threshold_changed()),
        ],
    );
    let json = serde_json::to_vec(&page).unwrap();
    assert_eq!(EventPage::decode(&json).unwrap(), page);
}

#[test]
fn oversized_pages_and_reasons_are_bounded() {
    assert!(matches!(
        EventPage::decode(&vec![b' '; 9_000_000]),
        Err(PageError::TooLong(_))
    ));
    let record = r#"{"seq":1,"stamp":{"wall_ms":1,"count":0},"kind":"shutdown-step","step":"x"}"#;
    let records = vec![record; 10_001].join(",");
    let member = r#"{"address":"127.0.0.1:1","started_ms":1}"#;
    let page = format!(r#"{{"process":{member},"dropped":0,"next":1,"events":[{records}]}}"#);
    assert!(matches!(
        EventPage::decode(page.as_bytes()),
        Err(PageError::TooManyEvents(10_001))
    ));
    let reason = EventReason::from(format!("\x1b[2J{}", "x".repeat(9_999)));
    assert!(!reason.as_str().contains('\x1b'));
    assert_eq!(reason.as_str().chars().count(), MAX_REASON_LENGTH);
}

#[test]
fn timeline_merges_events_of_all_processes() {
    let ingress_page = page(
        1,
        vec![(10, 0, call_started(1, None)), (19, 0, call_completed(1))],
    );
    let middle_page = page(
        2,
        vec![
            (11, 0, call_started(2, Some(1))),
            (11, 1, call_started(3, Some(1))),
        ],
    );
    let end_page = page(
        3,
        vec![
            (12, 0, call_completed(3)),
            (12, 1, threshold_changed()),
            (13, 0, call_completed(2)),
        ],
    );
    let timeline =
        EventTimeline::build(vec![end_page.clone(), ingress_page, middle_page, end_page]);
    let no_filter = EventFilter::default();
    let entries: Vec<_> = timeline
        .events(&no_filter)
        .map(|entry| {
            (
                entry.process.address.port(),
                entry.depth,
                entry.record.kind.name(),
            )
        })
        .collect();
    assert_eq!(
        entries,
        [
            (1, 0, EventName::CallStarted),
            (2, 1, EventName::CallStarted),
            (2, 1, EventName::CallStarted),
            (3, 1, EventName::CallCompleted),
            (3, 0, EventName::ThresholdChanged),
            (3, 1, EventName::CallCompleted),
            (1, 0, EventName::CallCompleted),
        ]
    );
    let calls: Vec<_> = timeline
        .tree()
        .iter_request(REQUEST)
        .map(|(_, node)| node.call)
        .collect();
    assert_eq!(calls, [1, 2, 3].map(CallId::from_u64));
}

#[test]
fn filter_selects_by_request_peer_kind_and_time() {
    let events = vec![
        (10, 0, call_started(1, None)),
        (20, 0, call_completed(1)),
        (30, 0, threshold_changed()),
    ];
    let timeline = EventTimeline::build(vec![page(1, events)]);
    let cases = [
        (
            EventFilter {
                request: Some(REQUEST),
                ..EventFilter::default()
            },
            2,
        ),
        (
            EventFilter {
                peer: Some(address(9_001)),
                ..EventFilter::default()
            },
            1,
        ),
        (
            EventFilter {
                peer: Some(address(1)),
                ..EventFilter::default()
            },
            3,
        ),
        (
            EventFilter {
                kind: Some(EventName::CallStarted),
                ..EventFilter::default()
            },
            1,
        ),
        (
            EventFilter {
                wall_ms: Some(10..30),
                ..EventFilter::default()
            },
            2,
        ),
        (
            EventFilter {
                request: Some(RequestId::from_u128(1)),
                ..EventFilter::default()
            },
            0,
        ),
    ];
    for (filter, count) in cases {
        assert_eq!(timeline.events(&filter).count(), count, "{filter:?}");
    }
}

proptest! {
    #![proptest_config(fixed_seed_config())]

    #[test]
    fn stamps_of_a_process_increase_strictly(steps in vec((any::<bool>(), 0_u64..50, any::<u16>()), 1..200)) {
        let mut clock = HybridClock::default();
        let mut last = clock.last();
        for (is_remote, wall_ms, count) in steps {
            let stamp = if is_remote {
                clock.observe(HybridStamp { wall_ms, count }, wall_ms / 2)
            } else {
                clock.tick(wall_ms)
            };
            prop_assert!(stamp > last);
            last = stamp;
        }
    }

    #[test]
    fn encoded_stamp_decodes_to_itself(wall_ms in any::<u64>(), count in any::<u16>()) {
        let stamp = HybridStamp { wall_ms, count };
        prop_assert_eq!(HybridStamp::decode(&stamp.encode()), Some(stamp));
    }

    #[test]
    fn decoding_arbitrary_text_does_not_panic(text in ".{0,30}", json in ".{0,200}") {
        let _ = HybridStamp::decode(&text);
        let _ = EventPage::decode(json.as_bytes());
    }

    #[test]
    fn arbitrary_parent_links_make_no_cycle(links in vec((0_u64..50, 0_u64..50), 0..200)) {
        let events: Vec<_> = (0..)
            .zip(&links)
            .map(|(at, (call, parent))| (at, 0, call_started(*call, Some(*parent))))
            .collect();
        let timeline = EventTimeline::build(vec![page(1, events)]);
        let tree = timeline.tree();
        let mut calls: Vec<_> = tree.iter_request(REQUEST).map(|(_, node)| node.call).collect();
        let count = calls.len();
        calls.sort_unstable();
        calls.dedup();
        prop_assert_eq!(calls.len(), count, "each call occurs once");
        for (call, parent) in links {
            for id in [call, parent] {
                let index = tree.find(REQUEST, CallId::from_u64(id)).unwrap();
                prop_assert!(tree.depth(index) <= usize::from(MAX_DEPTH));
                prop_assert!(calls.contains(&CallId::from_u64(id)), "each call is reached");
            }
        }
    }
}
