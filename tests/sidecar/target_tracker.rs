use {
    banyantrestle::{
        context::ServiceName,
        sidecar::{ReportedState, TargetChange, TargetHeartbeat, TargetPhase, TargetTracker},
        time::TimePoint,
    },
    std::time::Duration,
};

const INTERVAL: Duration = Duration::from_millis(1_500);

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
    assert_eq!(tracker.record_leave("i-0"), TargetChange::Ignored);
    assert_eq!(tracker.record_leave("i-1"), TargetChange::Gone);
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
