//! Selection of the policy version in force, for any order of policies, reports and fetches.

use {
    banyantrestle::{
        policy::{
            DEPLOYMENT_POLLS_PER_SECOND, EnforceOutcome, MIN_POLL_INTERVAL, PeerReport,
            PolicyDocument, PollSchedule, STARTUP_FETCH_TIMEOUT, STARTUP_LISTED_PEER_WINDOW,
            STARTUP_PEER_WINDOW, VersionReport, VersionTracker, VersionedPolicy,
        },
        time::TimePoint,
    },
    proptest::{collection::vec, prelude::*, test_runner::RngSeed},
    rand::{SeedableRng, rngs::StdRng},
    std::{net::SocketAddr, time::Duration},
};

const NOW: TimePoint = TimePoint::from_millis(1_000);

fn versioned_policy(version: u64, variant: u32) -> VersionedPolicy {
    let mut document = PolicyDocument::built_in();
    document.classes[0].weight = 1 + variant;
    VersionedPolicy { version, document }
}

fn peer(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + number))
}

fn peer_report(number: u16, policy: &VersionedPolicy) -> PeerReport {
    PeerReport {
        peer: peer(number),
        report: VersionReport {
            version: policy.version,
            hash: policy.hash(),
        },
    }
}

#[test]
fn only_a_higher_version_is_enforced() {
    let mut tracker = VersionTracker::new();
    assert!(matches!(
        tracker.try_enforce(versioned_policy(3, 0)),
        EnforceOutcome::Enforced(_)
    ));
    assert!(matches!(
        tracker.try_enforce(versioned_policy(2, 0)),
        EnforceOutcome::Outdated
    ));
    assert!(matches!(
        tracker.try_enforce(versioned_policy(3, 0)),
        EnforceOutcome::AlreadyEnforced
    ));
    assert!(matches!(
        tracker.try_enforce(versioned_policy(3, 1)),
        EnforceOutcome::HashMismatch(_)
    ));
    assert_eq!(tracker.current().hash, versioned_policy(3, 0).hash());
    let mut invalid = versioned_policy(4, 0);
    invalid.document.classes[0].weight = 0;
    assert!(matches!(
        tracker.try_enforce(invalid),
        EnforceOutcome::Invalid(_)
    ));
    assert_eq!(tracker.current().version, 3);
}

#[test]
fn fetched_document_with_an_unexpected_hash_is_rejected() {
    let mut tracker = VersionTracker::new();
    assert_eq!(
        tracker.record_report(peer_report(1, &versioned_policy(5, 0)), NOW),
        None
    );
    assert_eq!(tracker.start_fetch(NOW).unwrap().peer, peer(1));
    let outcome = tracker.finish_fetch(Some(versioned_policy(5, 1)));
    assert!(matches!(outcome, Some(EnforceOutcome::HashMismatch(_))));
    assert_eq!(tracker.current().version, 0);
}

#[test]
fn hash_mismatch_is_reported_once() {
    let mut tracker = VersionTracker::new();
    tracker.try_enforce(versioned_policy(5, 0));
    let mismatched_report = peer_report(1, &versioned_policy(5, 1));
    assert_eq!(
        tracker.record_report(mismatched_report, NOW),
        Some(mismatched_report.report)
    );
    assert_eq!(tracker.record_report(mismatched_report, NOW), None);
}

#[test]
fn failed_fetch_moves_to_the_next_peer() {
    let mut tracker = VersionTracker::new();
    for number in 1..=3 {
        tracker.record_report(peer_report(number, &versioned_policy(4, 0)), NOW);
    }
    let mut fetched_peers = Vec::new();
    while let Some(fetch) = tracker.start_fetch(NOW) {
        assert_eq!(tracker.start_fetch(NOW), None, "one fetch at a time");
        fetched_peers.push(fetch.peer);
        let fetched = (fetched_peers.len() == 3).then(|| versioned_policy(4, 0));
        tracker.finish_fetch(fetched);
    }
    fetched_peers.sort_unstable();
    assert_eq!(fetched_peers, [peer(1), peer(2), peer(3)]);
    assert_eq!(tracker.current().version, 4);
}

#[test]
fn reported_version_is_fetched_until_a_member_provides_it() {
    let mut tracker = VersionTracker::new();
    tracker.record_table_response(NOW);
    assert!(tracker.check_readiness(NOW + STARTUP_PEER_WINDOW));
    tracker.record_report(peer_report(1, &versioned_policy(4, 0)), NOW);
    tracker.set_peers(vec![peer(2), peer(3)], 2);
    let (mut now, mut fetched_peers) = (NOW, Vec::new());
    for _ in 0..100 {
        if let Some(fetch) = tracker.start_fetch(now) {
            fetched_peers.push(fetch.peer);
            // A member may lack the version at the first fetch from it.
            let fetched = (fetched_peers.len() == 5).then(|| versioned_policy(4, 0));
            tracker.finish_fetch(fetched);
        }
        now = now + Duration::from_millis(100);
    }
    assert_eq!(fetched_peers, [1, 2, 3, 2, 3].map(peer));
    assert_eq!(tracker.current().version, 4);
    assert_eq!(
        tracker
            .start_fetch(now + STARTUP_FETCH_TIMEOUT)
            .map(|fetch| fetch.expected),
        None
    );
}

#[test]
fn startup_without_the_table_waits_for_the_higher_of_two_peer_versions() {
    let mut tracker = VersionTracker::new();
    tracker.set_peers(vec![peer(1)], 4);
    for number in 1..=2 {
        tracker.record_report(peer_report(number, &versioned_policy(0, 0)), NOW);
    }
    assert!(
        !tracker.check_readiness(NOW + STARTUP_FETCH_TIMEOUT),
        "the built-in policy does not count"
    );
    tracker.record_report(peer_report(3, &versioned_policy(6, 0)), NOW);
    tracker.start_fetch(NOW);
    tracker.finish_fetch(Some(versioned_policy(6, 0)));
    assert!(
        !tracker.check_readiness(NOW + STARTUP_FETCH_TIMEOUT),
        "one peer is too few"
    );
    tracker.record_report(peer_report(4, &versioned_policy(8, 0)), NOW);
    assert!(
        !tracker.check_readiness(NOW),
        "a higher version was reported"
    );
    tracker.start_fetch(NOW);
    tracker.finish_fetch(Some(versioned_policy(8, 0)));
    assert!(tracker.check_readiness(NOW));
}

#[test]
fn one_report_is_insufficient_while_members_are_unknown() {
    let mut tracker = VersionTracker::new();
    tracker.record_report(peer_report(1, &versioned_policy(6, 0)), NOW);
    tracker.start_fetch(NOW);
    tracker.finish_fetch(Some(versioned_policy(6, 0)));
    assert!(!tracker.check_readiness(NOW + STARTUP_FETCH_TIMEOUT));
    tracker.set_peers(vec![peer(1)], 1);
    assert!(tracker.check_readiness(NOW), "there is no other member");
}

#[test]
fn startup_asks_members_that_reported_no_version() {
    let mut tracker = VersionTracker::new();
    tracker.set_peers(vec![peer(1), peer(2), peer(3)], 3);
    let first = tracker.start_fetch(NOW).unwrap();
    tracker.finish_fetch(Some(versioned_policy(5, 0)));
    let later = NOW + Duration::from_secs(1);
    let second = tracker.start_fetch(later).unwrap();
    assert_ne!(first.peer, second.peer);
    assert!(!tracker.check_readiness(later));
    tracker.finish_fetch(Some(versioned_policy(4, 0)));
    assert!(tracker.check_readiness(later));
    assert_eq!(tracker.current().version, 5);
    assert_eq!(
        tracker.start_fetch(later + STARTUP_FETCH_TIMEOUT),
        None,
        "no further fetch is needed"
    );
}

#[test]
fn startup_waits_for_peers_after_the_table_responds() {
    let mut tracker = VersionTracker::new();
    tracker.record_table_response(NOW);
    tracker.try_enforce(versioned_policy(3, 0));
    assert!(!tracker.check_readiness(NOW));
    assert!(tracker.clone().check_readiness(NOW + STARTUP_PEER_WINDOW));
    tracker.set_peers(vec![peer(1)], 1);
    tracker.start_fetch(NOW);
    tracker.finish_fetch(Some(versioned_policy(9, 0)));
    assert!(tracker.check_readiness(NOW));
    assert_eq!(tracker.current().version, 9);
}

#[test]
fn startup_waits_longer_for_daemons_that_the_member_table_lists() {
    let mut tracker = VersionTracker::new();
    tracker.set_listed_members(2);
    tracker.record_table_response(NOW);
    tracker.try_enforce(versioned_policy(1, 0));
    assert!(!tracker.check_readiness(NOW + STARTUP_PEER_WINDOW));
    let mut unanswered = tracker.clone();
    assert!(unanswered.check_readiness(NOW + STARTUP_LISTED_PEER_WINDOW));
    for number in [1, 2] {
        tracker.record_report(peer_report(number, &versioned_policy(2, 0)), NOW);
    }
    assert!(
        !tracker.check_readiness(NOW),
        "version 2 is not fetched yet"
    );
    assert!(tracker.start_fetch(NOW).is_some());
    tracker.finish_fetch(Some(versioned_policy(2, 0)));
    assert!(tracker.check_readiness(NOW));
    assert_eq!(tracker.current().version, 2);
}

#[test]
fn startup_stops_waiting_for_an_unavailable_version() {
    let mut tracker = VersionTracker::new();
    tracker.record_table_response(NOW);
    tracker.record_report(peer_report(1, &versioned_policy(6, 0)), NOW);
    tracker.start_fetch(NOW);
    tracker.finish_fetch(None);
    assert!(!tracker.check_readiness(NOW + STARTUP_PEER_WINDOW));
    assert!(tracker.check_readiness(NOW + STARTUP_FETCH_TIMEOUT));
}

#[test]
fn members_share_the_poll_rate() {
    let mut rng = StdRng::seed_from_u64(5);
    let mut schedule = PollSchedule::new(NOW);
    assert!(schedule.is_due(NOW));
    assert_eq!(schedule.mean_interval(), MIN_POLL_INTERVAL);
    schedule.set_member_count(1_500);
    let shared_interval = Duration::from_secs(1_500) / DEPLOYMENT_POLLS_PER_SECOND;
    assert_eq!(schedule.mean_interval(), shared_interval);
    for _ in 0..100 {
        schedule.record_success(NOW, &mut rng);
        assert!(!schedule.is_due(NOW + shared_interval / 2 - Duration::from_millis(1)));
        assert!(schedule.is_due(NOW + shared_interval * 3 / 2));
    }
}

/// An input of the version tracker.
#[derive(Clone, Copy, Debug)]
enum TrackerEvent {
    TryEnforce {
        version: u64,
        variant: u32,
    },
    PeerReported {
        peer: u16,
        version: u64,
        variant: u32,
    },
    StartFetch,
    FinishFetch {
        version: u64,
        variant: u32,
    },
    FailFetch,
    TableResponse,
}

fn tracker_events() -> impl Strategy<Value = TrackerEvent> {
    let version = 0_u64..6;
    let variant = 0_u32..3;
    prop_oneof![
        (version.clone(), variant.clone())
            .prop_map(|(version, variant)| TrackerEvent::TryEnforce { version, variant }),
        (0_u16..30, version.clone(), variant.clone()).prop_map(|(peer, version, variant)| {
            TrackerEvent::PeerReported {
                peer,
                version,
                variant,
            }
        }),
        Just(TrackerEvent::StartFetch),
        (version, variant)
            .prop_map(|(version, variant)| TrackerEvent::FinishFetch { version, variant }),
        Just(TrackerEvent::FailFetch),
        Just(TrackerEvent::TableResponse),
    ]
}

fn apply_event(tracker: &mut VersionTracker, event: TrackerEvent) {
    match event {
        TrackerEvent::TryEnforce { version, variant } => {
            tracker.try_enforce(versioned_policy(version, variant));
        }
        TrackerEvent::PeerReported {
            peer,
            version,
            variant,
        } => {
            tracker.record_report(peer_report(peer, &versioned_policy(version, variant)), NOW);
        }
        TrackerEvent::StartFetch => {
            tracker.start_fetch(NOW);
        }
        TrackerEvent::FinishFetch { version, variant } => {
            tracker.finish_fetch(Some(versioned_policy(version, variant)));
        }
        TrackerEvent::FailFetch => {
            tracker.finish_fetch(None);
        }
        TrackerEvent::TableResponse => tracker.record_table_response(NOW),
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(72),
        ..ProptestConfig::default()
    })]

    #[test]
    fn enforced_version_never_decreases(events in vec(tracker_events(), 0..60)) {
        let mut tracker = VersionTracker::new();
        let mut is_ready = false;
        for event in events {
            let before = tracker.current().clone();
            apply_event(&mut tracker, event);
            let after = tracker.current();
            prop_assert!(after.version >= before.version, "{event:?}");
            if after.version == before.version {
                prop_assert_eq!(after.hash, before.hash, "{:?}", event);
            }
            let now_ready = tracker.check_readiness(NOW);
            prop_assert!(now_ready || !is_ready, "readiness was revoked");
            is_ready = now_ready;
        }
    }
}
