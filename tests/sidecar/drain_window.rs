use {
    banyantrestle::{sidecar::DrainWindow, time::TimePoint},
    std::time::Duration,
};

#[test]
fn calls_are_ended_just_before_the_grace_is_over() {
    let at = TimePoint::from_millis;
    // Grace, leave, end of the time for callers, latest deadline, end of the calls.
    for (grace_ms, leave_at, callers_end, last_deadline, end) in [
        (2_000, 500, 1_000, 1_600, 1_600),
        (6_000, 1_300, 2_300, 5_160, 5_600),
        (10_000, 1_300, 2_300, 8_600, 9_600),
    ] {
        let grace = Duration::from_millis(grace_ms);
        let expected = DrainWindow {
            leave_at: at(700 + leave_at),
            callers_end: at(700 + callers_end),
            last_deadline: at(700 + last_deadline),
            end: at(700 + end),
        };
        assert_eq!(DrainWindow::new(at(700), grace), expected, "{grace_ms}");
    }
}
