use {
    banyantrestle::{
        sidecar::{RetryBudget, RetryLimits, RetryRequest},
        time::TimePoint,
    },
    std::time::Duration,
};

const BOUNDS: RetryLimits = RetryLimits {
    ratio: 0.2,
    window: Duration::from_secs(10),
    slack: 50.0,
};
const TARGETS: usize = 4;
const INHERITED: RetryRequest = RetryRequest {
    rank: 1,
    is_inherited: true,
};

/// Repeats that one target grants while it gets `firsts` first arrivals a second.
fn granted(firsts: u32, seconds: u64, is_inherited: bool) -> Vec<u32> {
    let mut budget = RetryBudget::new(BOUNDS, TimePoint::ORIGIN);
    let mut granted = Vec::new();
    let ask = RetryRequest {
        rank: 1,
        is_inherited,
    };
    for second in 0..seconds {
        let now = TimePoint::from_millis(second * 1_000 + 500);
        for _ in 0..firsts {
            budget.note_first(now);
        }
        let repeats = (0..1_000).filter(|_| budget.take_repeat(now, ask, TARGETS));
        granted.push(u32::try_from(repeats.count()).expect("a small count"));
    }
    granted
}

#[test]
fn any_window_stays_within_the_bound_of_the_service() {
    for firsts in [0, 3, 100] {
        for is_inherited in [false, true] {
            let granted = granted(firsts, 60, is_inherited);
            for window in granted.windows(10) {
                let repeats: u32 = window.iter().sum();
                let all = f64::from(repeats) * 4.0;
                let bound = 0.2 * f64::from(firsts * 10) * 4.0 + 50.0;
                assert!(all <= bound, "{firsts} firsts: {all} of {bound}");
            }
        }
    }
}

#[test]
fn calls_below_a_repeat_have_more_room_than_new_repeats() {
    let own: u32 = granted(100, 30, false).iter().sum();
    let inherited: u32 = granted(100, 30, true).iter().sum();
    assert!(own > 0);
    assert!(inherited > own, "{inherited} against {own}");
}

#[test]
fn an_idle_span_forgets_what_was_before() {
    let mut budget = RetryBudget::new(BOUNDS, TimePoint::ORIGIN);
    for _ in 0..1_000 {
        budget.note_first(TimePoint::ORIGIN);
    }
    let later = TimePoint::from_millis(3_600_000);
    let grants = (0..1_000).filter(|_| budget.take_repeat(later, INHERITED, 1));
    assert_eq!(grants.count(), 45);
}

#[test]
fn first_arrivals_of_the_window_before_still_count() {
    let mut budget = RetryBudget::new(BOUNDS, TimePoint::ORIGIN);
    for second in 0..10 {
        for _ in 0..100 {
            budget.note_first(TimePoint::from_millis(second * 1_000));
        }
    }
    let after = |millis: u64| TimePoint::from_millis(10_000 + millis);
    let mut grants = |millis: u64| {
        let asks = (0..1_000).filter(|_| budget.take_repeat(after(millis), INHERITED, TARGETS));
        asks.count()
    };
    assert!(grants(9_000) >= 150, "a fifth of a thousand, less a margin");
    assert!(grants(21_000) < 20, "a window later only the slack is left");
}

#[test]
fn repeats_are_kept_for_the_ranks_that_ask_for_them() {
    let mut budget = RetryBudget::new(BOUNDS, TimePoint::ORIGIN);
    for _ in 0..1_000 {
        budget.note_first(TimePoint::ORIGIN);
    }
    let mut granted = [0, 0];
    for step in 0..200 {
        let now = TimePoint::from_millis(step * 20);
        for (count, rank) in granted.iter_mut().zip([1, 3]) {
            let ask = RetryRequest {
                rank,
                is_inherited: false,
            };
            *count += u32::from(budget.take_repeat(now, ask, TARGETS));
        }
    }
    let [low, high] = granted;
    assert!(high > low * 3, "{high} of the high rank, {low} of the low");
    assert!(high >= 100, "{high}");
}
