//! Messages that wait while their process is paused.

use {
    banyantrestle::time::{PauseDetector, TimePoint},
    std::time::Duration,
};

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(10_000 + millis)
}

#[test]
fn messages_count_from_now_while_the_process_runs() {
    let detector = PauseDetector::new(at(0));
    for millis in (0..2_000).step_by(50) {
        detector.tick(at(millis));
        assert_eq!(detector.earliest_arrival(at(millis + 40)), at(millis + 40));
    }
}

#[test]
fn messages_count_from_the_begin_of_a_pause() {
    let detector = PauseDetector::new(at(0));
    detector.tick(at(100));
    // A message is read before the first tick after the pause, and others soon after it.
    assert_eq!(detector.earliest_arrival(at(6_100)), at(100));
    detector.tick(at(6_100));
    for millis in [6_100, 6_200, 6_350] {
        let earliest = detector.earliest_arrival(at(millis));
        assert_eq!(at(millis).since(earliest), Duration::from_secs(6));
    }
    detector.tick(at(6_400));
    assert_eq!(detector.earliest_arrival(at(6_500)), at(6_500));
}
