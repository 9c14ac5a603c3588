use {
    banyantrestle::{
        context::ServiceName,
        sidecar::{ReportedState, TargetChange, TargetHeartbeat, TargetPhase, TargetTracker},
        time::TimePoint,
    },
    std::time::Duration,
};

const INTERVAL: Duration = Duration::from_millis(1_500);

fn beat(instance: &str, started_ms: u64, sequence: u64, state: ReportedState) -> TargetHeartbeat {
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

fn register() -> TargetTracker {
    TargetTracker::new(ServiceName::new("a").expect("a valid name"), INTERVAL)
}

fn current(register: &TargetTracker) -> Option<(&str, u64, TargetPhase)> {
    let (beat, phase) = register.current()?;
    Some((&beat.instance, beat.started_ms, phase))
}

#[test]
fn reports_in_order_and_out_of_it() {
    use {
        ReportedState::{Draining as Leaves, Ready},
        TargetChange::{Draining, PassedOver, Started, Unchanged},
    };
    let now = TimePoint::ORIGIN;
    let cases = [
        ("first", beat("i-1", 100, 1, Ready), Started),
        ("next", beat("i-1", 100, 2, Ready), Unchanged),
        ("late", beat("i-1", 100, 1, Ready), PassedOver),
        ("leaving", beat("i-1", 100, 3, Leaves), Draining),
        ("ready again", beat("i-1", 100, 4, Ready), Unchanged),
        ("same id, new start", beat("i-1", 200, 1, Ready), Started),
        (
            "old start, high count",
            beat("i-1", 100, 9, Ready),
            PassedOver,
        ),
        (
            "old start of another id",
            beat("i-0", 150, 9, Ready),
            PassedOver,
        ),
        ("new id", beat("i-2", 300, 1, Ready), Started),
    ];
    let mut register = register();
    for (name, beat, expected) in cases {
        assert_eq!(register.note_beat(now, beat), expected, "{name}");
    }
    let expected = Some(("i-2", 300, TargetPhase::Serving));
    assert_eq!(current(&register), expected);
}

#[test]
fn what_leaves_does_not_come_back() {
    let now = TimePoint::ORIGIN;
    let mut register = register();
    register.note_beat(now, beat("i-1", 100, 1, ReportedState::Draining));
    register.note_beat(now, beat("i-1", 100, 2, ReportedState::Ready));
    assert_eq!(
        current(&register),
        Some(("i-1", 100, TargetPhase::Draining))
    );
    assert_eq!(register.note_leave("i-0"), TargetChange::PassedOver);
    assert_eq!(register.note_leave("i-1"), TargetChange::Gone);
    let late = register.note_beat(now, beat("i-1", 100, 3, ReportedState::Ready));
    assert_eq!(late, TargetChange::PassedOver);
    assert_eq!(current(&register), Some(("i-1", 100, TargetPhase::Gone)));
}

#[test]
fn reports_of_another_service_are_passed_over() {
    let mut register = register();
    let mut foreign = beat("i-9", 900, 1, ReportedState::Ready);
    foreign.service = ServiceName::new("b").expect("a valid name");
    let change = register.note_beat(TimePoint::ORIGIN, foreign);
    assert_eq!(change, TargetChange::PassedOver);
    assert_eq!(current(&register), None);
}

#[test]
fn a_silent_target_is_overdue() {
    let mut register = register();
    register.note_beat(TimePoint::ORIGIN, beat("i-1", 100, 1, ReportedState::Ready));
    assert!(!register.is_overdue(TimePoint::from_millis(5_900)));
    assert!(register.is_overdue(TimePoint::from_millis(6_100)));
}
