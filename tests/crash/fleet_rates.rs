//! Missed and false refusals in the model of a fleet.
//!
//! `MODEL_SEEDS` sets the number of seeds of each scenario:
//!
//! ```sh
//! MODEL_SEEDS=20 cargo test --release --test crash fleet_rates -- --nocapture
//! ```

use {
    crate::fleet_model::{FleetModel, FleetOutcome, FleetScenario, MillisRange, length},
    std::env,
};

/// Retries of a deadly request that may reach targets after its third crash.
const MAX_LATE_ARRIVALS: usize = 3;
const DEFAULT_SEEDS: u64 = 2;
/// Fronts of the fleets, and targets of the service that is played.
const FLEETS: [(usize, usize); 3] = [(3, 3), (13, 4), (96, 24)];

fn scenario(targets: usize, deadly: u32) -> FleetScenario {
    FleetScenario {
        targets,
        rate: 100,
        deadly,
        deadly_interval_ms: MillisRange {
            start: 200,
            end: 2_000,
        },
        deadly_start_ms: 5_000,
        own_crash_ms: 0,
        mass_crash_ms: &[],
        daemon_restart_ms: 0,
        roll_ms: 0,
        length_ms: length(30),
    }
}

/// Plays all fleets and prints the rates; returns the outcomes.
fn play(name: &str, change: impl Fn(&mut FleetScenario)) -> Vec<(usize, FleetOutcome)> {
    let seeds = env::var("MODEL_SEEDS")
        .ok()
        .and_then(|text| text.parse().ok());
    let seeds = seeds.unwrap_or(DEFAULT_SEEDS);
    let mut outcomes = Vec::new();
    for (fronts, targets) in FLEETS {
        let mut scenario = scenario(targets, 0);
        change(&mut scenario);
        let mut total = FleetOutcome::default();
        let (mut most_late, mut most_crashes) = (0, 0);
        for seed in 1..=seeds {
            let outcome = FleetModel::run(scenario, seed);
            most_late = most_late.max(outcome.late_arrivals.iter().copied().max().unwrap_or(0));
            most_crashes = most_crashes.max(outcome.crashes.iter().copied().max().unwrap_or(0));
            total.falsely_refused_requests += outcome.falsely_refused_requests;
            total.falsely_refused += outcome.falsely_refused;
            total.innocent_requests += outcome.innocent_requests;
            total.innocent_failures += outcome.innocent_failures;
            outcomes.push((fronts, outcome));
        }
        println!(
            "{name}, {fronts} fronts: most late arrivals {most_late}, most crashes {most_crashes}; of \
             {} innocent requests {} refused ({} different ones), {} failed",
            total.innocent_requests,
            total.falsely_refused,
            total.falsely_refused_requests,
            total.innocent_failures
        );
    }
    outcomes
}

fn check(name: &str, outcomes: &[(usize, FleetOutcome)]) {
    for (fronts, outcome) in outcomes {
        let late = &outcome.late_arrivals;
        assert!(
            late.iter().all(|late| *late <= MAX_LATE_ARRIVALS),
            "{name}, {fronts} fronts: late arrivals {late:?}"
        );
        assert_eq!(
            (outcome.falsely_refused_requests, outcome.falsely_refused),
            (0, 0),
            "{name}, {fronts} fronts: innocent requests refused"
        );
    }
}

#[test]
fn one_deadly_request() {
    let outcomes = play("one", |scenario| scenario.deadly = 1);
    check("one", &outcomes);
}

#[test]
fn five_deadly_requests_at_once() {
    let outcomes = play("five", |scenario| scenario.deadly = 5);
    check("five", &outcomes);
}

#[test]
fn fifty_deadly_requests_at_once() {
    let outcomes = play("fifty", |scenario| scenario.deadly = 50);
    check("fifty", &outcomes);
}

#[test]
fn targets_that_fail_by_themselves_refuse_nobody() {
    let outcomes = play("own crashes", |scenario| scenario.own_crash_ms = 9_000);
    check("own crashes", &outcomes);
}

#[test]
fn crashes_of_a_third_of_all_targets_refuse_nobody() {
    let outcomes = play("mass crashes", |scenario| {
        scenario.mass_crash_ms = &[4_000, 8_000, 12_000, 16_000, 20_000, 24_000];
    });
    check("mass crashes", &outcomes);
}

#[test]
fn deadly_requests_beside_all_other_faults() {
    let outcomes = play("all faults", |scenario| {
        scenario.deadly = 5;
        scenario.own_crash_ms = 30_000;
        scenario.mass_crash_ms = &[9_000, 20_000];
        scenario.daemon_restart_ms = 3_000;
        scenario.roll_ms = 2_500;
    });
    check("all faults", &outcomes);
}

#[test]
fn deadly_request_that_comes_in_bursts() {
    let outcomes = play("burst", |scenario| {
        scenario.deadly = 2;
        scenario.deadly_interval_ms = MillisRange { start: 5, end: 60 };
    });
    check("burst", &outcomes);
}

#[test]
fn deadly_request_that_comes_rarely() {
    let outcomes = play("rare", |scenario| {
        scenario.deadly = 1;
        scenario.deadly_interval_ms = MillisRange {
            start: 8_000,
            end: 12_000,
        };
        scenario.length_ms = length(80);
    });
    check("rare", &outcomes);
}
