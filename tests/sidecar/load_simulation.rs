//! Simulates overload of a call graph in logical time; checks what callers get and how much useful
//! work the deepest service does.
//!
//! The workloads are those of the Kererū and Kita deployments: 18 ingress sidecars, and four
//! targets at the deepest service.

use {
    crate::load_model::{
        LoadSimulation, RETRY_LIMITS, RequestKind, SimulationResult, SimulationSetup, kind, served,
        share,
    },
    banyantrestle::sidecar::LeastService,
    std::{ops::Range, time::Duration},
};

/// Number of counting intervals in the window of [`RETRY_LIMITS`].
const WINDOW_INTERVALS: usize = 100;

fn simulation(kinds: &[RequestKind], slots: u32, seed: u64) -> LoadSimulation {
    LoadSimulation::new(SimulationSetup::new(kinds, slots, seed))
}

/// Workload of the Kererū deployment at `load_factor` times the usual load, with 100 slots at the
/// deepest service.
fn kereru(load_factor: f64) -> [RequestKind; 3] {
    [
        kind("browse", 1, 300.0 * load_factor, 8, 22.0, 15.0, 5_000),
        kind("list", 2, 76.5 * load_factor, 1, 36.0, 0.0, 600),
        kind("buy", 3, 159.0 * load_factor, 8, 22.0, 19.0, 800),
    ]
}

/// Workload of the Kita deployment at `load_factor` times the usual load, with 104 slots at the
/// deepest service.
fn kita(load_factor: f64) -> [RequestKind; 3] {
    [
        kind("lookup", 1, 119.0 * load_factor, 10, 55.0, 28.0, 1_800),
        kind("status", 2, 34.0 * load_factor, 1, 88.0, 0.0, 1_200),
        kind("encode", 3, 36.1 * load_factor, 5, 55.0, 60.0, 1_500),
    ]
}

/// Checks what holds under any overload: ranks are served in order, admitted requests complete, and
/// the slots do useful work.
fn check_overload(name: &str, result: &SimulationResult) {
    let served: Vec<f64> = result
        .kinds
        .iter()
        .map(|kind| share(kind.completed, kind.arrived))
        .collect();
    let completed_of_admitted: Vec<f64> = result
        .kinds
        .iter()
        .map(|kind| share(kind.completed, kind.admitted))
        .collect();
    let wasted = 1.0 - result.useful_slot_seconds / result.used_slot_seconds;
    let useful = result.useful_slot_seconds / result.available_slot_seconds;
    let summary = format!(
        "{name}: served {served:.3?} completed_of_admitted {completed_of_admitted:.3?} wasted {wasted:.3} useful {useful:.3}"
    );
    assert!(served[2] >= 0.97, "highest rank served: {summary}");
    assert!(served[1] >= 0.95, "second rank served: {summary}");
    assert!(served[0] < served[1], "lowest rank served last: {summary}");
    assert!(
        completed_of_admitted.iter().all(|&share| share >= 0.95),
        "admitted requests complete: {summary}"
    );
    assert!(wasted < 0.03, "work wasted on failed requests: {summary}");
    assert!(
        useful >= 0.80,
        "slots used for completed requests: {summary}"
    );
}

#[test]
fn kereru_overload_keeps_ranks_in_order() {
    for seed in 1..=3 {
        let result = simulation(&kereru(1.8), 25, seed).run(Duration::from_secs(20));
        check_overload("kereru", &result);
    }
}

#[test]
fn kita_overload_keeps_ranks_in_order() {
    for seed in 1..=3 {
        let result = simulation(&kita(2.0), 26, seed).run(Duration::from_secs(20));
        check_overload("kita", &result);
    }
}

#[test]
fn usual_load_refuses_almost_nothing() {
    let result = simulation(&kereru(0.7), 25, 1).run(Duration::from_secs(20));
    for kind in &result.kinds {
        assert!(share(kind.completed, kind.arrived) >= 0.99, "{kind:?}");
    }
}

#[test]
fn one_slow_target_of_four_keeps_most_throughput() {
    let mut simulation = simulation(&kereru(1.5), 25, 4);
    simulation.slowdowns[3] = 5.0;
    let result = simulation.run(Duration::from_secs(20));
    let buy = result.kinds[2];
    assert!(share(buy.completed, buy.arrived) >= 0.9, "{result:?}");
    assert!(
        result.useful_slot_seconds / result.used_slot_seconds >= 0.9,
        "{result:?}"
    );
}

/// Checks that the retries of every window stay within the limits for the first attempts of that
/// window, the window half a length earlier, or the one before.
fn check_retry_limits(result: &SimulationResult) {
    let sum = |range: Range<usize>, select: fn(&(u32, u32)) -> u32| -> u32 {
        result.attempts[range].iter().map(select).sum()
    };
    for start in WINDOW_INTERVALS..result.attempts.len() - WINDOW_INTERVALS {
        let retries = sum(start..start + WINDOW_INTERVALS, |(_, retries)| *retries);
        let starts = [
            start,
            start - WINDOW_INTERVALS / 2,
            start - WINDOW_INTERVALS,
        ];
        let first_attempts = starts.map(|start| {
            sum(start..start + WINDOW_INTERVALS, |(first_attempts, _)| {
                *first_attempts
            })
        });
        let max_first_attempts = first_attempts.into_iter().max().unwrap_or_default();
        let max_retries = RETRY_LIMITS.ratio * f64::from(max_first_attempts) + RETRY_LIMITS.slack;
        assert!(
            f64::from(retries) <= max_retries,
            "{retries} of {max_retries} at {start}"
        );
    }
}

/// Simulates a workload in strict order of ranks in which every target refuses a share of its calls
/// while requests are counted.
fn simulate_refusals(
    kinds: &[RequestKind],
    slots: u32,
    refused: f64,
    seed: u64,
) -> SimulationResult {
    let mut setup = SimulationSetup::new(kinds, slots, seed);
    setup.least_service = LeastService::NONE;
    let mut simulation = LoadSimulation::new(setup);
    let start = simulation.now + Duration::from_secs(12);
    simulation.refusals = (refused, start..start + Duration::from_secs(8));
    simulation.measured_from = start;
    let result = simulation.run(Duration::from_secs(25));
    check_retry_limits(&result);
    result
}

#[test]
fn refusing_a_third_still_serves_the_highest_rank() {
    for seed in 1..=3 {
        let result = simulate_refusals(&kita(2.0), 26, 0.33, seed);
        let served = served(&result);
        assert!(served[2] >= 0.97, "{served:.3?}");
        // Two of three succeed at the first attempt; the rest depends on retries that the highest
        // rank leaves.
        assert!(served[1] >= 0.75, "{served:.3?}");
    }
}

#[test]
fn refusing_half_spends_retries_on_the_higher_ranks() {
    for seed in 1..=3 {
        let result = simulate_refusals(&kita(2.0), 26, 0.55, seed);
        let served = served(&result);
        assert!(served[2] >= 0.5, "{served:.3?}");
        assert!(
            served[0] < 0.05,
            "no retries for the lowest rank: {served:.3?}"
        );
    }
}

#[test]
fn refusing_half_leaves_lower_ranks_no_part_of_the_retries_that_the_highest_needs() {
    for seed in 1..=6 {
        let result = simulate_refusals(&kita(2.0), 26, 0.55, seed);
        let served = served(&result);
        // The budget holds about nine tenths of the retries that the highest rank needs.
        assert!(served[2] >= 0.6, "seed {seed}: {served:.3?}");
    }
}

#[test]
fn highest_rank_above_capacity_is_served_in_part() {
    for seed in 1..=3 {
        // With a quarter of the usual slots, purchases alone need twice the capacity.
        let result = simulation(&kereru(1.8), 6, seed).run(Duration::from_secs(20));
        let buy = result.kinds[2];
        assert!(share(buy.completed, buy.arrived) >= 0.25, "{result:?}");
        assert!(
            result.useful_slot_seconds / result.used_slot_seconds >= 0.5,
            "{result:?}"
        );
    }
}

#[test]
fn a_service_cut_to_a_quarter_still_serves_a_quarter_of_all_requests() {
    // Lists are a seventh of all requests and take a fifth of the remaining capacity; purchases fit
    // in part.
    let result = simulation(&kereru(1.8), 6, 1).run(Duration::from_secs(20));
    let completed: u32 = result.kinds.iter().map(|kind| kind.completed).sum();
    let arrived: u32 = result.kinds.iter().map(|kind| kind.arrived).sum();
    assert!(
        share(completed, arrived) >= 0.25,
        "{completed} of {arrived}"
    );
}
