use {
    banyantrestle::{
        context::ServiceName,
        sidecar::{
            MAX_DEPARTED_TARGETS, ReportedState, TargetChange, TargetHeartbeat, TargetIncarnation,
            TargetPhase, TargetTracker,
        },
        time::TimePoint,
    },
    std::time::Duration,
};

const INTERVAL: Duration = Duration::from_millis(1_500);
/// Time of a target's leave, in milliseconds since the Unix epoch.
const LEFT_MS: u64 = 500;

fn heartbeat(
    instance: &str,
    started_ms: u64,
    sequence: u64,
    state: ReportedState,
) -> TargetHeartbeat {
    TargetHeartbeat {
        instance: instance.into(),
        started_ms,
        sequence,
        service: ServiceName::new("a").expect("a valid name"),
        address: "10.0.0.1:80".parse().expect("an address"),
        slots: 8,
        state,
    }
}

fn tracker() -> TargetTracker {
    let mut tracker = unconfirmed_tracker();
    tracker.confirm();
    tracker
}

/// Tracker of a sidecar that has just started.
fn unconfirmed_tracker() -> TargetTracker {
    TargetTracker::new(ServiceName::new("a").expect("a valid name"), INTERVAL)
}

fn current(tracker: &TargetTracker) -> Option<(&str, u64, TargetPhase)> {
    let (heartbeat, phase) = tracker.current()?;
    Some((&heartbeat.instance, heartbeat.started_ms, phase))
}

#[test]
fn heartbeats_in_and_out_of_order() {
    use {
        ReportedState::{Draining as ReportsDraining, Ready},
        TargetChange::{Draining, Ignored, Started, Unchanged},
    };
    let now = TimePoint::ORIGIN;
    let cases = [
        ("first", heartbeat("i-1", 100, 1, Ready), Started),
        ("next", heartbeat("i-1", 100, 2, Ready), Unchanged),
        ("old sequence", heartbeat("i-1", 100, 1, Ready), Ignored),
        (
            "draining",
            heartbeat("i-1", 100, 3, ReportsDraining),
            Draining,
        ),
        ("ready again", heartbeat("i-1", 100, 4, Ready), Unchanged),
        (
            "same id, new start",
            heartbeat("i-1", 200, 1, Ready),
            Started,
        ),
        (
            "old start, high count",
            heartbeat("i-1", 100, 9, Ready),
            Ignored,
        ),
        (
            "old start of another id",
            heartbeat("i-0", 150, 9, Ready),
            Ignored,
        ),
        ("new id", heartbeat("i-2", 300, 1, Ready), Started),
    ];
    let mut tracker = tracker();
    for (name, heartbeat, expected) in cases {
        assert_eq!(tracker.record_heartbeat(now, heartbeat), expected, "{name}");
    }
    let expected = Some(("i-2", 300, TargetPhase::Serving));
    assert_eq!(current(&tracker), expected);
}

#[test]
fn draining_or_gone_target_never_serves_again() {
    let now = TimePoint::ORIGIN;
    let mut tracker = tracker();
    tracker.record_heartbeat(now, heartbeat("i-1", 100, 1, ReportedState::Draining));
    tracker.record_heartbeat(now, heartbeat("i-1", 100, 2, ReportedState::Ready));
    assert_eq!(current(&tracker), Some(("i-1", 100, TargetPhase::Draining)));
    assert_eq!(
        tracker.record_leave("i-0", LEFT_MS),
        TargetChange::OtherDeparted
    );
    assert_eq!(tracker.record_leave("i-1", LEFT_MS), TargetChange::Gone);
    let late = tracker.record_heartbeat(now, heartbeat("i-1", 100, 3, ReportedState::Ready));
    assert_eq!(late, TargetChange::Ignored);
    assert_eq!(current(&tracker), Some(("i-1", 100, TargetPhase::Gone)));
}

#[test]
fn heartbeats_of_another_service_are_ignored() {
    let mut tracker = tracker();
    let mut foreign = heartbeat("i-9", 900, 1, ReportedState::Ready);
    foreign.service = ServiceName::new("b").expect("a valid name");
    let change = tracker.record_heartbeat(TimePoint::ORIGIN, foreign);
    assert_eq!(change, TargetChange::Ignored);
    assert_eq!(current(&tracker), None);
}

#[test]
fn silent_target_becomes_overdue() {
    let mut tracker = tracker();
    tracker.record_heartbeat(
        TimePoint::ORIGIN,
        heartbeat("i-1", 100, 1, ReportedState::Ready),
    );
    assert!(!tracker.is_overdue(TimePoint::from_millis(5_900)));
    assert!(tracker.is_overdue(TimePoint::from_millis(6_100)));
}

/// A leave was forgotten if another process was tracked at the time, or none (review/2).
#[test]
fn process_that_left_unknown_never_serves() {
    let now = TimePoint::ORIGIN;
    let ready = |instance, started_ms| heartbeat(instance, started_ms, 9, ReportedState::Ready);
    let cases: [(&str, Option<TargetHeartbeat>, TargetHeartbeat, TargetChange); 5] = [
        (
            "none tracked",
            None,
            ready("i-1", 100),
            TargetChange::Ignored,
        ),
        (
            "no start time",
            None,
            ready("i-1", 0),
            TargetChange::Ignored,
        ),
        (
            "another one tracked",
            Some(ready("i-0", 50)),
            ready("i-1", 100),
            TargetChange::Ignored,
        ),
        (
            "starts again under its id",
            None,
            ready("i-1", LEFT_MS + 1),
            TargetChange::Started,
        ),
        (
            "starts again under another id",
            None,
            ready("i-2", 0),
            TargetChange::Started,
        ),
    ];
    for (name, tracked, late, expected) in cases {
        let mut tracker = tracker();
        if let Some(tracked) = tracked {
            tracker.record_heartbeat(now, tracked);
        }
        let change = tracker.record_leave("i-1", LEFT_MS);
        assert_eq!(change, TargetChange::OtherDeparted, "{name}");
        assert_eq!(tracker.record_heartbeat(now, late), expected, "{name}");
    }
}

/// A target that went silent was forgotten with its leave, and used again after a late heartbeat.
#[test]
fn target_that_was_lost_and_left_never_serves() {
    let mut tracker = tracker();
    let now = TimePoint::ORIGIN;
    tracker.record_heartbeat(now, heartbeat("i-1", 0, 1, ReportedState::Ready));
    tracker.remove();
    tracker.record_leave("i-1", LEFT_MS);
    let late = tracker.record_heartbeat(now, heartbeat("i-1", 0, 2, ReportedState::Ready));
    assert_eq!(late, TargetChange::Ignored);
}

/// `draining` was passed over if a later heartbeat had arrived before it, though acknowledged.
#[test]
fn draining_counts_in_any_order() {
    let now = TimePoint::ORIGIN;
    let draining =
        |started_ms, sequence| heartbeat("i-1", started_ms, sequence, ReportedState::Draining);
    let cases = [
        ("late", draining(100, 3), TargetChange::Draining),
        (
            "no slots",
            TargetHeartbeat {
                slots: 0,
                ..draining(100, 9)
            },
            TargetChange::Draining,
        ),
        (
            "of an earlier process",
            draining(50, 9),
            TargetChange::Ambiguous,
        ),
        (
            "of a later process",
            draining(200, 1),
            TargetChange::Started,
        ),
    ];
    for (name, draining, expected) in cases {
        let mut tracker = tracker();
        tracker.record_heartbeat(now, heartbeat("i-1", 100, 5, ReportedState::Ready));
        let incarnation = draining.incarnation();
        assert_eq!(tracker.record_heartbeat(now, draining), expected, "{name}");
        let is_departed = tracker.departed().contains(&incarnation);
        assert_eq!(is_departed, expected != TargetChange::Ambiguous, "{name}");
    }
}

#[test]
fn departed_targets_are_bounded_and_the_latest_stay() {
    let mut tracker = tracker();
    let earlier: Vec<_> = (0..MAX_DEPARTED_TARGETS)
        .map(|number| TargetIncarnation {
            instance: format!("earlier-{number}"),
            started_ms: 1,
        })
        .collect();
    tracker.record_leave("i-1", LEFT_MS);
    tracker.merge_departed(&earlier);
    let entries = tracker.departed().entries();
    assert_eq!(entries.len(), MAX_DEPARTED_TARGETS);
    assert_eq!(entries[0].instance, "earlier-1");
    let last = entries.last().expect("an entry");
    assert_eq!(last.instance, "i-1");
}
