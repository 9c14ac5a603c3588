//! A service that has less capacity than its callers ask for, for two minutes, in logical time.
//!
//! Urgent requests take most of the capacity or more than all of it; the rest of the load is of the
//! lowest rank and makes up half of all requests or more.

use {
    crate::load_model::{
        KindInterval, LoadSimulation, ReturnHabit, SimulationResult, SimulationSetup, kind, share,
    },
    banyantrestle::sidecar::LeastService,
    std::time::Duration,
};

const RUN_LENGTH: Duration = Duration::from_secs(120);
/// Intervals at the start and at the end that are not judged: admission settles in the first, and
/// requests of the last have not ended.
const UNJUDGED_INTERVALS: usize = 1;
const SLOTS: u32 = 30;
/// Share of the slots that calls may hold: one of 16 is left free, rounded up.
const USABLE_SHARE: f64 = 28.0 / 30.0;
const SPEEDS: [f64; 3] = [0.7, 1.0, 1.6];
const CALLS: u32 = 4;
const CALL_MS: f64 = 40.0;
/// Part of the mean share of all kinds below which a kind is starved.
const STARVED_SHARE: f64 = 0.25;

/// A shortage: loads in multiples of the capacity of the service.
#[derive(Clone, Copy, Debug)]
struct Shortage {
    load: f64,
    urgent_load: f64,
    fronts: usize,
    habit: ReturnHabit,
}

impl Shortage {
    fn play(self) -> SimulationResult {
        // Requests that the service can serve per second.
        let capacity =
            f64::from(SLOTS) * SPEEDS.iter().sum::<f64>() * 1_000.0 / (CALL_MS * f64::from(CALLS));
        let urgent = capacity * self.urgent_load;
        let lowest = capacity * (self.load - self.urgent_load).max(0.1);
        let kinds = [
            kind("browse", 1, lowest, CALLS, CALL_MS, 15.0, 1_200),
            kind("buy", 3, urgent, CALLS, CALL_MS, 15.0, 1_200),
        ];
        let setup = SimulationSetup {
            target_speeds: SPEEDS.into(),
            ingresses: self.fronts,
            returning_share: 0.7,
            return_habit: self.habit,
            ..SimulationSetup::new(&kinds, SLOTS, 1)
        };
        LoadSimulation::new(setup).run(RUN_LENGTH)
    }

    /// Share of the urgent requests that fits beside what lower ranks may take.
    fn urgent_share_due(self) -> f64 {
        let kept_share = 1.0 - LeastService::default().capacity_share;
        (USABLE_SHARE * kept_share / self.urgent_load).min(1.0)
    }
}

fn judged(intervals: &[KindInterval]) -> &[KindInterval] {
    &intervals[UNJUDGED_INTERVALS..intervals.len() - UNJUDGED_INTERVALS]
}

fn mean_share(intervals: &[KindInterval]) -> f64 {
    let arrived = intervals.iter().map(|interval| interval.arrived).sum();
    let completed = intervals.iter().map(|interval| interval.completed).sum();
    share(completed, arrived)
}

fn check(shortage: Shortage) {
    let result = shortage.play();
    let [lowest, urgent] = &result.intervals[..] else {
        panic!("two kinds of requests");
    };
    let (lowest, urgent) = (judged(lowest), judged(urgent));
    let shares = |intervals: &[KindInterval]| -> Vec<f64> {
        let shares = intervals.iter();
        shares
            .map(|interval| share(interval.completed, interval.arrived))
            .collect()
    };
    let used = result.used_slot_seconds / result.available_slot_seconds;
    let summary = format!(
        "{shortage:?}: lowest {:.3?}, urgent {:.3?}, {used:.3} of the slots used",
        shares(lowest),
        shares(urgent)
    );
    let all: Vec<KindInterval> = [lowest, urgent].concat();
    assert!(
        shares(lowest).iter().all(|share| *share > 0.0),
        "no kind at zero for ten seconds: {summary}"
    );
    assert!(
        mean_share(lowest) >= STARVED_SHARE * mean_share(&all),
        "lowest kind starved: {summary}"
    );
    assert!(
        mean_share(urgent) >= 0.95 * shortage.urgent_share_due(),
        "urgent requests lose too much: {summary}"
    );
    assert!(used >= 0.85, "slots stay free: {summary}");
}

fn check_fleets(fronts: &[usize]) {
    for &fronts in fronts {
        for load in [1.2, 1.8, 3.0] {
            for urgent_load in [0.5, 0.9, 1.2] {
                check(Shortage {
                    load,
                    urgent_load,
                    fronts,
                    habit: ReturnHabit::AsTold,
                });
            }
        }
    }
}

#[test]
fn lasting_shortage_starves_no_kind_at_few_fronts() {
    check_fleets(&[3, 13]);
}

#[test]
fn lasting_shortage_starves_no_kind_at_many_fronts() {
    check_fleets(&[71, 300]);
}

#[test]
fn callers_that_retry_at_once_starve_no_kind() {
    for (load, urgent_load) in [(1.8, 0.9), (3.0, 1.2)] {
        check(Shortage {
            load,
            urgent_load,
            fronts: 71,
            habit: ReturnHabit::AtOnce,
        });
    }
}
