//! When messages were sent, by the clocks of their senders.

use {
    banyantrestle::time::{ClockId, ClockReading, RemoteClocks, TimePoint},
    std::time::Duration,
};

const LATENCY: Duration = Duration::from_millis(2);

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(millis)
}

/// Delay, in ms, of a message that is sent by a clock which is `ahead` ms and read without a pause.
fn delay(clocks: &RemoteClocks, clock: u32, sent: u64, ahead: u64, read: u64) -> u128 {
    let reading = ClockReading {
        clock: ClockId::new(clock),
        time: at(sent + ahead),
    };
    let sent_at = clocks.sent_at(reading, at(read), at(read));
    at(read).since(sent_at).as_millis()
}

#[test]
fn delays_are_told_from_the_offset_of_the_clock() {
    for ahead in [0, 7, 90_000] {
        let clocks = RemoteClocks::default();
        assert_eq!(delay(&clocks, 1, 1_000, ahead, 1_002), 0);
        for (sent, late) in [
            (1_100, 0),
            (1_200, 700),
            (1_500, 400),
            (1_901, 1),
            (2_000, 5_000),
        ] {
            let read = sent + 2 + late;
            assert_eq!(u128::from(late), delay(&clocks, 1, sent, ahead, read));
        }
    }
}

#[test]
fn clocks_that_are_behind_have_a_positive_offset() {
    let clocks = RemoteClocks::default();
    assert_eq!(delay(&clocks, 1, 10, 0, 60_000), 0);
    assert_eq!(delay(&clocks, 1, 110, 0, 60_100), 0);
    assert_eq!(delay(&clocks, 1, 210, 0, 60_900), 700);
}

#[test]
fn each_clock_has_its_own_offset() {
    let clocks = RemoteClocks::default();
    assert_eq!(delay(&clocks, 1, 0, 0, 1), 0);
    assert_eq!(delay(&clocks, 2, 0, 500, 900), 0);
    assert_eq!(delay(&clocks, 1, 900, 0, 1_000), 99);
    assert_eq!(delay(&clocks, 2, 900, 500, 1_000), 0);
}

#[test]
fn a_clock_that_stood_still_is_followed_within_two_periods() {
    let clocks = RemoteClocks::default();
    delay(&clocks, 1, 0, 3_000, 2);
    let late = |millis: u64| delay(&clocks, 1, millis, 0, millis + 2);
    let delays: Vec<u128> = (100..10_000).step_by(100).map(late).collect();
    let late_count = delays.iter().filter(|delay| **delay > 0).count();
    assert!(late_count <= 42, "{late_count}");
    assert_eq!(delays.last(), Some(&0));
}

#[test]
fn the_first_message_after_a_pause_teaches_nothing() {
    let clocks = RemoteClocks::default();
    let read = |sent, now, earliest| {
        let reading = ClockReading {
            clock: ClockId::new(1),
            time: at(sent),
        };
        clocks.sent_at(reading, at(now), at(earliest))
    };
    assert_eq!(read(1_000, 3_000, 900), at(900));
    assert_eq!(read(2_000, 3_001, 901), at(901));
    assert_eq!(read(3_300, 3_302, 3_302), at(3_302));
    // A known clock needs no guess.
    assert_eq!(read(5_000, 6_000, 4_000), at(5_000) + LATENCY);
}

#[test]
fn an_offset_outlasts_silence_for_a_minute() {
    let clocks = RemoteClocks::default();
    assert_eq!(delay(&clocks, 1, 0, 0, 2), 0);
    assert_eq!(delay(&clocks, 1, 50_000, 0, 50_500), 498);
    assert_eq!(delay(&clocks, 1, 120_000, 0, 121_000), 0);
}

#[test]
fn the_number_of_clocks_is_bounded() {
    let clocks = RemoteClocks::default();
    for clock in 0..10_000 {
        assert_eq!(delay(&clocks, clock, 0, 0, 1), 0);
    }
    assert_eq!(delay(&clocks, 0, 1, 0, 500), 498);
    assert_eq!(delay(&clocks, 9_999, 1, 0, 500), 0);
    // Clocks of which nothing is heard make room.
    assert_eq!(delay(&clocks, 9_999, 70_000, 0, 70_000), 0);
    assert_eq!(delay(&clocks, 9_999, 70_100, 0, 70_200), 100);
}
