//! When messages were sent, by the clocks of their senders.

use {
    banyantrestle::time::{ClockId, ClockReading, RemoteClocks, TimePoint},
    std::time::Duration,
};

const LATENCY: Duration = Duration::from_millis(2);

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(millis)
}

/// Reading of a clock that started `ahead` ms before that of this process.
fn reading(clock: u32, sent: TimePoint, ahead: u64) -> ClockReading {
    ClockReading {
        clock: ClockId::new(clock),
        time: sent + Duration::from_millis(ahead),
    }
}

#[test]
fn delays_are_told_from_the_offset_of_the_clock() {
    for ahead in [0, 7, 90_000] {
        let clocks = RemoteClocks::default();
        assert_eq!(
            clocks.sent_at(reading(1, at(1_000), ahead), at(1_002)),
            None
        );
        for (sent, delay) in [
            (1_100, 2),
            (1_200, 702),
            (1_500, 402),
            (1_901, 3),
            (2_000, 5_002),
        ] {
            let read = at(sent + delay);
            let sent_at = clocks.sent_at(reading(1, at(sent), ahead), read);
            assert_eq!(sent_at, Some(at(sent) + LATENCY), "{sent} {delay}");
        }
    }
}

#[test]
fn clocks_that_are_behind_have_a_positive_offset() {
    let clocks = RemoteClocks::default();
    let read = |sent: u64, now: u64| clocks.sent_at(reading(1, at(sent), 0), at(now));
    assert_eq!(read(10, 60_000), None);
    assert_eq!(read(110, 60_100), Some(at(60_100)));
    assert_eq!(read(210, 60_900), Some(at(60_200)));
}

#[test]
fn each_clock_has_its_own_offset() {
    let clocks = RemoteClocks::default();
    assert_eq!(clocks.sent_at(reading(1, at(0), 0), at(1)), None);
    assert_eq!(clocks.sent_at(reading(2, at(0), 500), at(900)), None);
    assert_eq!(
        clocks.sent_at(reading(1, at(900), 0), at(1_000)),
        Some(at(901))
    );
    assert_eq!(
        clocks.sent_at(reading(2, at(900), 500), at(1_000)),
        Some(at(1_000))
    );
}

#[test]
fn an_offset_that_grows_is_followed() {
    let clocks = RemoteClocks::default();
    clocks.sent_at(reading(1, at(0), 3_000), at(2));
    let mut last = None;
    // The remote clock has lost 3 s.
    for millis in (100..25_000).step_by(100) {
        let now = at(millis) + LATENCY;
        last = clocks
            .sent_at(reading(1, at(millis), 0), now)
            .map(|sent| now.since(sent));
    }
    assert_eq!(last, Some(Duration::ZERO));
}

#[test]
fn a_clock_that_was_silent_is_not_relied_on() {
    let clocks = RemoteClocks::default();
    clocks.sent_at(reading(1, at(0), 0), at(2));
    assert!(
        clocks
            .sent_at(reading(1, at(9_000), 0), at(9_500))
            .is_some()
    );
    assert_eq!(clocks.sent_at(reading(1, at(30_000), 0), at(31_000)), None);
}

#[test]
fn the_number_of_clocks_is_bounded() {
    let clocks = RemoteClocks::default();
    for clock in 0..10_000 {
        assert_eq!(clocks.sent_at(reading(clock, at(0), 0), at(1)), None);
    }
    assert!(clocks.sent_at(reading(0, at(1), 0), at(2)).is_some());
    assert_eq!(clocks.sent_at(reading(9_999, at(1), 0), at(2)), None);
    // Clocks of which nothing is heard make room.
    assert_eq!(
        clocks.sent_at(reading(9_999, at(11_000), 0), at(11_000)),
        None
    );
    assert!(
        clocks
            .sent_at(reading(9_999, at(11_001), 0), at(11_001))
            .is_some()
    );
}
