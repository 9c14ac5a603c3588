use {
    banyantrestle::{sidecar::RouteDurations, time::TimePoint},
    std::time::Duration,
};

#[test]
fn longest_recent_request_counts_with_a_margin() {
    let at = TimePoint::from_millis;
    let mut durations = RouteDurations::default();
    assert_eq!(durations.expected(at(0), "a"), None);
    durations.record(at(1_000), "a", Duration::from_millis(400));
    durations.record(at(2_000), "a", Duration::from_millis(100));
    durations.record(at(2_000), "b", Duration::from_millis(20));
    let expected = Some(Duration::from_millis(600));
    assert_eq!(durations.expected(at(2_000), "a"), expected);
    // It counts in the next window too, and no longer than that.
    assert_eq!(durations.expected(at(12_000), "a"), expected);
    assert_eq!(durations.expected(at(23_000), "a"), None);
    durations.record(at(24_000), "a", Duration::from_millis(100));
    assert_eq!(durations.expected(at(60_000), "a"), None);
}

#[test]
fn outliers_and_running_requests_count_by_their_number() {
    let at = TimePoint::from_millis;
    // Short and long requests that have ended, running ones of 2 s and of 1 ms, expected ms.
    for (short, long, old, new, expected) in [
        (0, 0, 3, 0, None),
        (50, 1, 0, 0, Some(4_500)),
        (99, 1, 0, 0, Some(15)),
        (199, 2, 0, 0, Some(15)),
        (197, 3, 0, 0, Some(4_500)),
        (2_000, 8, 0, 0, Some(4_500)),
        (1_000, 0, 1, 0, Some(4_000)),
        (1_000, 0, 1, 8, Some(4_000)),
        (1_000, 0, 1, 9, Some(15)),
        (1_000, 0, 2, 9, Some(4_000)),
        (1_000, 0, 0, 20, Some(15)),
    ] {
        let mut durations = RouteDurations::default();
        let case = (short, long, old, new);
        for (count, millis) in [(short, 10), (long, 3_000)] {
            for _ in 0..count {
                durations.record(at(5_000), "a", Duration::from_millis(millis));
            }
        }
        for (count, start) in [(old, at(3_000)), (new, at(4_999))] {
            for _ in 0..count {
                durations.add_running(start, "a");
            }
        }
        let expected = expected.map(Duration::from_millis);
        assert_eq!(durations.expected(at(5_000), "a"), expected, "{case:?}");
        for _ in 0..old {
            durations.remove_running("a", at(3_000));
        }
        let after = durations.expected(at(5_000), "a");
        assert!(
            old == 0 || after.is_none_or(|after| after < Duration::from_secs(1)),
            "{case:?}"
        );
    }
}
