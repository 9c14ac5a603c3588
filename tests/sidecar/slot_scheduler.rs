use banyantrestle::{
    sidecar::{QueueKey, SlotDecision, SlotOutcome, SlotScheduler},
    time::TimePoint,
};

const FAR: TimePoint = TimePoint::from_millis(60_000);

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(millis)
}

fn wait(guard: &mut SlotScheduler, now: u64, rank: u8, root: u64) -> QueueKey {
    match guard.offer(at(now), rank, at(root), FAR) {
        SlotDecision::Wait(key) => key,
        other => panic!("expected to wait, got {other:?}"),
    }
}

#[test]
fn a_target_gets_fewer_calls_than_slots() {
    let mut guard = SlotScheduler::new(25, at(0));
    let verdicts = (0..30).map(|_| guard.offer(at(0), 1, at(0), FAR));
    let started = verdicts.filter(|verdict| *verdict == SlotDecision::Start);
    assert_eq!(started.count(), 24);
}

#[test]
fn ranks_go_first_and_then_the_oldest_request() {
    let mut guard = SlotScheduler::new(1, at(0));
    assert_eq!(guard.offer(at(0), 1, at(0), FAR), SlotDecision::Start);
    let young = wait(&mut guard, 10, 1, 9);
    let old = wait(&mut guard, 11, 1, 2);
    let urgent = wait(&mut guard, 12, 2, 12);
    for expected in [urgent, old, young] {
        guard.finish(at(20), at(0), SlotOutcome::Answered);
        assert_eq!(guard.next_ready(at(20)), Some((expected, true)));
    }
    assert_eq!(guard.next_ready(at(20)), None);
}

#[test]
fn a_call_that_cannot_end_in_time_gets_no_slot() {
    let mut guard = SlotScheduler::new(1, at(0));
    assert_eq!(guard.offer(at(0), 1, at(0), FAR), SlotDecision::Start);
    let late = guard.offer(at(10), 1, at(10), at(130));
    guard.finish(at(100), at(0), SlotOutcome::Answered);
    // The target takes 100 ms and 30 ms are left.
    let SlotDecision::Wait(late) = late else {
        panic!("expected to wait");
    };
    assert_eq!(guard.next_ready(at(100)), Some((late, false)));
    assert_eq!(guard.load(at(100)).running, 0);
}

#[test]
fn a_target_that_ends_nothing_gets_single_calls_only() {
    use SlotDecision::{Stalled, Start};
    let mut guard = SlotScheduler::new(8, at(0));
    assert_eq!(guard.offer(at(0), 1, at(0), FAR), SlotDecision::Start);
    assert_eq!(guard.offer(at(600), 1, at(600), FAR), SlotDecision::Start);
    assert!(!guard.load(at(650)).is_stalled);
    assert!(guard.load(at(900)).is_stalled);
    let verdicts: Vec<_> = [900, 950, 1_000, 1_200]
        .map(|now| guard.offer(at(now), 1, at(now), FAR))
        .into();
    assert_eq!(verdicts, [Start, Stalled, Stalled, Start]);
    guard.finish(at(1_210), at(1_200), SlotOutcome::Answered);
    assert!(!guard.load(at(1_210)).is_stalled);
}

#[test]
fn pressure_follows_the_calls_in_the_target_and_before_it() {
    let mut guard = SlotScheduler::new(10, at(0));
    for _ in 0..20 {
        guard.offer(at(0), 1, at(0), FAR);
    }
    assert!(guard.pressure(at(0)) < 0.1);
    let pressure = guard.pressure(at(2_000));
    assert!((pressure - 2.0).abs() < 0.01, "{pressure}");
}

#[test]
fn a_queue_holds_a_bounded_number() {
    let mut guard = SlotScheduler::new(1, at(0));
    let verdicts = (0..100).map(|_| guard.offer(at(0), 1, at(0), FAR));
    let waiting = verdicts.filter(|verdict| matches!(verdict, SlotDecision::Wait(_)));
    assert_eq!(waiting.count(), 32);
}
