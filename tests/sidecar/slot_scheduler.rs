use banyantrestle::{
    sidecar::{QueueKey, QueuedCall, SlotDecision, SlotOutcome, SlotScheduler},
    time::TimePoint,
};

const LATE_DEADLINE: TimePoint = TimePoint::from_millis(60_000);

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(millis)
}

fn queue(scheduler: &mut SlotScheduler, now: u64, rank: u8, root: u64) -> QueueKey {
    match scheduler.request(at(now), rank, at(root), LATE_DEADLINE) {
        SlotDecision::Queued(key) => key,
        other => panic!("expected to wait, got {other:?}"),
    }
}

/// Calls that a target with this number of slots may run at once.
fn concurrency_limit(slots: u32) -> u32 {
    SlotScheduler::new(slots, at(0)).load(at(0)).limit
}

#[test]
fn concurrency_limit_is_below_the_slots() {
    let cases = [(1, 1), (9, 9), (10, 9), (19, 18), (25, 23), (26, 24)];
    for (slots, expected) in cases.into_iter().chain([(30, 28), (41, 38)]) {
        let mut scheduler = SlotScheduler::new(slots, at(0));
        let decisions = (0..slots + 5).map(|_| scheduler.request(at(0), 1, at(0), LATE_DEADLINE));
        let started = decisions.filter(|decision| *decision == SlotDecision::Start);
        assert_eq!(started.count(), expected, "{slots} slots");
    }
}

#[test]
fn concurrency_limit_is_between_nine_tenths_and_nineteen_twentieths_of_the_slots() {
    for slots in 10..2_000 {
        let limit = concurrency_limit(slots);
        assert!(limit * 20 < slots * 19, "{limit} of {slots}");
        assert!(limit * 10 >= slots * 9, "{limit} of {slots}");
    }
}

#[test]
fn queue_orders_by_rank_and_then_request_age() {
    let mut scheduler = SlotScheduler::new(1, at(0));
    assert_eq!(
        scheduler.request(at(0), 1, at(0), LATE_DEADLINE),
        SlotDecision::Start
    );
    let young = queue(&mut scheduler, 10, 1, 9);
    let old = queue(&mut scheduler, 11, 1, 2);
    let urgent = queue(&mut scheduler, 12, 2, 12);
    for expected in [urgent, old, young] {
        scheduler.finish(at(20), at(0), SlotOutcome::Responded);
        assert_eq!(
            scheduler.pop_ready(at(20)),
            Some(QueuedCall::Ready(expected))
        );
    }
    assert_eq!(scheduler.pop_ready(at(20)), None);
}

#[test]
fn call_that_cannot_meet_its_deadline_gets_no_slot() {
    let mut scheduler = SlotScheduler::new(1, at(0));
    assert_eq!(
        scheduler.request(at(0), 1, at(0), LATE_DEADLINE),
        SlotDecision::Start
    );
    let late = scheduler.request(at(10), 1, at(10), at(130));
    scheduler.finish(at(100), at(0), SlotOutcome::Responded);
    // The service time is 100 ms and 30 ms remain until the deadline.
    let SlotDecision::Queued(late) = late else {
        panic!("expected to wait");
    };
    assert_eq!(
        scheduler.pop_ready(at(100)),
        Some(QueuedCall::DeadlineTooNear(late))
    );
    assert_eq!(scheduler.load(at(100)).running, 0);
}

#[test]
fn stalled_target_gets_only_probe_calls() {
    use SlotDecision::{Start, TargetStalled};
    let mut scheduler = SlotScheduler::new(8, at(0));
    assert_eq!(
        scheduler.request(at(0), 1, at(0), LATE_DEADLINE),
        SlotDecision::Start
    );
    assert_eq!(
        scheduler.request(at(600), 1, at(600), LATE_DEADLINE),
        SlotDecision::Start
    );
    assert!(!scheduler.load(at(650)).is_stalled);
    assert!(scheduler.load(at(900)).is_stalled);
    let decisions: Vec<_> = [900, 950, 1_000, 1_200]
        .map(|now| scheduler.request(at(now), 1, at(now), LATE_DEADLINE))
        .into();
    assert_eq!(decisions, [Start, TargetStalled, TargetStalled, Start]);
    scheduler.finish(at(1_210), at(1_200), SlotOutcome::Responded);
    assert!(!scheduler.load(at(1_210)).is_stalled);
}

#[test]
fn pressure_counts_running_and_waiting_calls() {
    let mut scheduler = SlotScheduler::new(9, at(0));
    for _ in 0..18 {
        scheduler.request(at(0), 1, at(0), LATE_DEADLINE);
    }
    assert!(scheduler.pressure(at(0)) < 0.1);
    let pressure = scheduler.pressure(at(2_000));
    assert!((pressure - 2.0).abs() < 0.01, "{pressure}");
}

#[test]
fn queue_length_is_bounded() {
    let mut scheduler = SlotScheduler::new(1, at(0));
    let decisions = (0..100).map(|_| scheduler.request(at(0), 1, at(0), LATE_DEADLINE));
    let waiting = decisions.filter(|decision| matches!(decision, SlotDecision::Queued(_)));
    assert_eq!(waiting.count(), 32);
}
