//! Which version of the policy is in force, over all orders of what arrives.

use {
    banyantrestle::{
        policy::{
            MIN_POLL_PERIOD, OfferVerdict, POLL_READS_PER_SECOND, PeerReport, PolicyDocument,
            PollSchedule, START_LISTEN, START_PATIENCE, VersionReport, VersionTracker,
            VersionedPolicy,
        },
        time::TimePoint,
    },
    proptest::{collection::vec, prelude::*, test_runner::RngSeed},
    rand::{SeedableRng, rngs::StdRng},
    std::{net::SocketAddr, time::Duration},
};

const NOW: TimePoint = TimePoint::from_millis(1_000);

fn versioned(version: u64, variant: u32) -> VersionedPolicy {
    let mut document = PolicyDocument::initial();
    document.classes[0].weight = 1 + variant;
    VersionedPolicy { version, document }
}

fn peer(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + number))
}

fn report(number: u16, policy: &VersionedPolicy) -> PeerReport {
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
        tracker.offer(versioned(3, 0)),
        OfferVerdict::Enforced(_)
    ));
    assert!(matches!(
        tracker.offer(versioned(2, 0)),
        OfferVerdict::Older
    ));
    assert!(matches!(tracker.offer(versioned(3, 0)), OfferVerdict::Same));
    assert!(matches!(
        tracker.offer(versioned(3, 1)),
        OfferVerdict::HashClash(_)
    ));
    assert_eq!(tracker.current().hash, versioned(3, 0).hash());
    let mut invalid = versioned(4, 0);
    invalid.document.classes[0].weight = 0;
    assert!(matches!(tracker.offer(invalid), OfferVerdict::Invalid(_)));
    assert_eq!(tracker.current().version, 3);
}

#[test]
fn a_fetched_document_must_have_the_hash_that_was_told() {
    let mut tracker = VersionTracker::new();
    assert_eq!(tracker.hear(report(1, &versioned(5, 0)), NOW), None);
    assert_eq!(tracker.begin_fetch(NOW).unwrap().peer, peer(1));
    let verdict = tracker.end_fetch(Some(versioned(5, 1)));
    assert!(matches!(verdict, Some(OfferVerdict::HashClash(_))));
    assert_eq!(tracker.current().version, 0);
}

#[test]
fn a_clash_is_told_once() {
    let mut tracker = VersionTracker::new();
    tracker.offer(versioned(5, 0));
    let other = report(1, &versioned(5, 1));
    assert_eq!(tracker.hear(other, NOW), Some(other.report));
    assert_eq!(tracker.hear(other, NOW), None);
}

#[test]
fn failed_fetches_go_on_to_the_next_peer() {
    let mut tracker = VersionTracker::new();
    for number in 1..=3 {
        tracker.hear(report(number, &versioned(4, 0)), NOW);
    }
    let mut asked = Vec::new();
    while let Some(fetch) = tracker.begin_fetch(NOW) {
        assert_eq!(tracker.begin_fetch(NOW), None, "one fetch at a time");
        asked.push(fetch.peer);
        let answer = (asked.len() == 3).then(|| versioned(4, 0));
        tracker.end_fetch(answer);
    }
    asked.sort_unstable();
    assert_eq!(asked, [peer(1), peer(2), peer(3)]);
    assert_eq!(tracker.current().version, 4);
}

#[test]
fn a_version_that_was_heard_once_is_asked_for_until_a_member_gives_it() {
    let mut tracker = VersionTracker::new();
    tracker.note_table_answer(NOW);
    assert!(tracker.is_ready(NOW + START_LISTEN));
    tracker.hear(report(1, &versioned(4, 0)), NOW);
    tracker.set_peers(vec![peer(2), peer(3)], 2);
    let (mut now, mut asked) = (NOW, Vec::new());
    for _ in 0..100 {
        if let Some(fetch) = tracker.begin_fetch(now) {
            asked.push(fetch.peer);
            // A member may have it only the second time that it is asked.
            let answer = (asked.len() == 5).then(|| versioned(4, 0));
            tracker.end_fetch(answer);
        }
        now = now + Duration::from_millis(100);
    }
    assert_eq!(asked, [1, 2, 3, 2, 3].map(peer));
    assert_eq!(tracker.current().version, 4);
    assert_eq!(
        tracker
            .begin_fetch(now + START_PATIENCE)
            .map(|fetch| fetch.expected),
        None
    );
}

#[test]
fn a_start_without_the_table_waits_for_the_highest_of_two_peers() {
    let mut tracker = VersionTracker::new();
    tracker.set_peers(vec![peer(1)], 4);
    for number in 1..=2 {
        tracker.hear(report(number, &versioned(0, 0)), NOW);
    }
    assert!(
        !tracker.is_ready(NOW + START_PATIENCE),
        "the built-in policy is no evidence"
    );
    tracker.hear(report(3, &versioned(6, 0)), NOW);
    tracker.begin_fetch(NOW);
    tracker.end_fetch(Some(versioned(6, 0)));
    assert!(
        !tracker.is_ready(NOW + START_PATIENCE),
        "one peer is too few"
    );
    tracker.hear(report(4, &versioned(8, 0)), NOW);
    assert!(!tracker.is_ready(NOW), "a higher version is known");
    tracker.begin_fetch(NOW);
    tracker.end_fetch(Some(versioned(8, 0)));
    assert!(tracker.is_ready(NOW));
}

#[test]
fn one_report_is_not_enough_before_the_members_are_known() {
    let mut tracker = VersionTracker::new();
    tracker.hear(report(1, &versioned(6, 0)), NOW);
    tracker.begin_fetch(NOW);
    tracker.end_fetch(Some(versioned(6, 0)));
    assert!(!tracker.is_ready(NOW + START_PATIENCE));
    tracker.set_peers(vec![peer(1)], 1);
    assert!(tracker.is_ready(NOW), "there is no other");
}

#[test]
fn a_start_asks_members_that_told_nothing() {
    let mut tracker = VersionTracker::new();
    tracker.set_peers(vec![peer(1), peer(2), peer(3)], 3);
    let first = tracker.begin_fetch(NOW).unwrap();
    tracker.end_fetch(Some(versioned(5, 0)));
    let later = NOW + Duration::from_secs(1);
    let second = tracker.begin_fetch(later).unwrap();
    assert_ne!(first.peer, second.peer);
    assert!(!tracker.is_ready(later));
    tracker.end_fetch(Some(versioned(4, 0)));
    assert!(tracker.is_ready(later));
    assert_eq!(tracker.current().version, 5);
    assert_eq!(
        tracker.begin_fetch(later + START_PATIENCE),
        None,
        "nothing more to learn"
    );
}

#[test]
fn a_start_listens_to_peers_after_the_table_has_answered() {
    let mut tracker = VersionTracker::new();
    tracker.note_table_answer(NOW);
    tracker.offer(versioned(3, 0));
    assert!(!tracker.is_ready(NOW));
    assert!(tracker.clone().is_ready(NOW + START_LISTEN));
    tracker.set_peers(vec![peer(1)], 1);
    tracker.begin_fetch(NOW);
    tracker.end_fetch(Some(versioned(9, 0)));
    assert!(tracker.is_ready(NOW));
    assert_eq!(tracker.current().version, 9);
}

#[test]
fn a_start_does_not_wait_for_ever_for_a_version_that_nobody_gives() {
    let mut tracker = VersionTracker::new();
    tracker.note_table_answer(NOW);
    tracker.hear(report(1, &versioned(6, 0)), NOW);
    tracker.begin_fetch(NOW);
    tracker.end_fetch(None);
    assert!(!tracker.is_ready(NOW + START_LISTEN));
    assert!(tracker.is_ready(NOW + START_PATIENCE));
}

#[test]
fn polls_share_one_rate() {
    let mut rng = StdRng::seed_from_u64(5);
    let mut schedule = PollSchedule::new(NOW);
    assert!(schedule.is_due(NOW));
    assert_eq!(schedule.period(), MIN_POLL_PERIOD);
    schedule.set_members(1_500);
    let shared = Duration::from_secs(1_500) / POLL_READS_PER_SECOND;
    assert_eq!(schedule.period(), shared);
    for _ in 0..100 {
        schedule.succeeded(NOW, &mut rng);
        assert!(!schedule.is_due(NOW + shared / 2 - Duration::from_millis(1)));
        assert!(schedule.is_due(NOW + shared * 3 / 2));
    }
}

/// One thing that arrives at a daemon.
#[derive(Clone, Copy, Debug)]
enum Arrival {
    Offer {
        version: u64,
        variant: u32,
    },
    Hear {
        peer: u16,
        version: u64,
        variant: u32,
    },
    BeginFetch,
    EndFetch {
        version: u64,
        variant: u32,
    },
    LoseFetch,
    TableAnswer,
}

fn arrivals() -> impl Strategy<Value = Arrival> {
    let version = 0_u64..6;
    let variant = 0_u32..3;
    prop_oneof![
        (version.clone(), variant.clone())
            .prop_map(|(version, variant)| Arrival::Offer { version, variant }),
        (0_u16..30, version.clone(), variant.clone()).prop_map(|(peer, version, variant)| {
            Arrival::Hear {
                peer,
                version,
                variant,
            }
        }),
        Just(Arrival::BeginFetch),
        (version, variant).prop_map(|(version, variant)| Arrival::EndFetch { version, variant }),
        Just(Arrival::LoseFetch),
        Just(Arrival::TableAnswer),
    ]
}

fn arrive(tracker: &mut VersionTracker, arrival: Arrival) {
    match arrival {
        Arrival::Offer { version, variant } => {
            tracker.offer(versioned(version, variant));
        }
        Arrival::Hear {
            peer,
            version,
            variant,
        } => {
            tracker.hear(report(peer, &versioned(version, variant)), NOW);
        }
        Arrival::BeginFetch => {
            tracker.begin_fetch(NOW);
        }
        Arrival::EndFetch { version, variant } => {
            tracker.end_fetch(Some(versioned(version, variant)));
        }
        Arrival::LoseFetch => {
            tracker.end_fetch(None);
        }
        Arrival::TableAnswer => tracker.note_table_answer(NOW),
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(72),
        ..ProptestConfig::default()
    })]

    #[test]
    fn the_version_in_force_never_goes_back(arrivals in vec(arrivals(), 0..60)) {
        let mut tracker = VersionTracker::new();
        let mut is_ready = false;
        for arrival in arrivals {
            let before = tracker.current().clone();
            arrive(&mut tracker, arrival);
            let after = tracker.current();
            prop_assert!(after.version >= before.version, "{arrival:?}");
            if after.version == before.version {
                prop_assert_eq!(after.hash, before.hash, "{:?}", arrival);
            }
            let now_ready = tracker.is_ready(NOW);
            prop_assert!(now_ready || !is_ready, "readiness was taken back");
            is_ready = now_ready;
        }
    }
}
