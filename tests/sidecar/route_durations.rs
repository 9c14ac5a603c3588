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
