//! Compares variants of the admission guard on a model of one target.
//!
//! ```sh
//! cargo run --release --example admission_weigh -- --seed 1 --runs 8
//! ```

mod adaptive_lifo;
mod fifo_queue;
mod guard_variant;
mod scenarios;

use {
    crate::{
        adaptive_lifo::AdaptiveLifo,
        fifo_queue::FifoQueue,
        guard_variant::{GuardMode, GuardVariant},
    },
    banyantrestle::admission::{AimdLimit, GradientLimit, PriorityQueue, StaticLimit},
    standins::model::{LoadScenario, RunResult},
    std::{ops::Range, time::Duration},
};

const DEFAULT_SEED: u64 = 1;
const DEFAULT_RUNS: u64 = 8;
const DEFAULT_SLOTS: u32 = 20;

xflags::xflags! {
    /// Compares variants of the admission guard on a model of one target.
    cmd admission-weigh {
        /// Seed of the arrivals and service times in the first run; 1 if absent.
        optional --seed seed: u64
        /// Runs of each variant, each with its own seed; 8 if absent.
        optional --runs runs: u64
        /// Slots of the target; 20 if absent.
        optional --slots slots: u32
    }
}

fn main() {
    let flags = AdmissionWeigh::from_env_or_exit();
    let seed = flags.seed.unwrap_or(DEFAULT_SEED);
    let runs = flags.runs.unwrap_or(DEFAULT_RUNS).max(1);
    let slots = flags.slots.unwrap_or(DEFAULT_SLOTS).max(1);
    for scenario in scenarios::all_scenarios(slots) {
        print_scenario(&scenario, seed..seed + runs);
    }
}

fn print_scenario(scenario: &LoadScenario, seeds: Range<u64>) {
    println!("\n{}, {} runs", scenario.name, seeds.end - seeds.start);
    println!(
        "{:<26} {:>9} {:>9} {:>9} {:>9} {:>9} {:>9} {:>9} {:>9}",
        "way",
        "goodput%",
        "weighted%",
        "highest%",
        "least%",
        "answering",
        "all back",
        "refused-0",
        "wasted",
    );
    for variant in variants() {
        let run = |seed| (variant.run)(scenario, variant.mode, seed);
        let results: Vec<RunResult> = seeds.clone().map(run).collect();
        print_results(&variant, &results);
    }
}

/// Prints means over the runs; of the `least%` and of the two recovery times, the worst.
fn print_results(variant: &GuardVariant, results: &[RunResult]) {
    let highest = |result: &RunResult| result.classes[0].served_percent();
    let wasted =
        |result: &RunResult| -> u32 { result.classes.iter().map(|class| class.wasted).sum() };
    println!(
        "{:<26} {:>9.1} {:>9.1} {:>9.1} {:>9.1} {:>9} {:>9} {:>9.1} {:>9.1}",
        variant.name,
        mean(results, |result| result.goodput_percent),
        mean(results, |result| result.weighted_percent),
        mean(results, highest),
        results.iter().map(highest).fold(f64::MAX, f64::min),
        longest_span(results, |result| result.throughput_recovery),
        longest_span(results, |result| result.full_recovery),
        mean(results, |result| f64::from(result.refused_before_pressure)),
        mean(results, |result| f64::from(wasted(result))),
    );
}

fn mean(results: &[RunResult], metric: impl Fn(&RunResult) -> f64) -> f64 {
    let count = u32::try_from(results.len()).unwrap_or(u32::MAX);
    results.iter().map(metric).sum::<f64>() / f64::from(count)
}

fn longest_span(results: &[RunResult], metric: impl Fn(&RunResult) -> Option<Duration>) -> String {
    let durations: Option<Vec<Duration>> = results.iter().map(metric).collect();
    match durations.and_then(|durations| durations.into_iter().max()) {
        Some(duration) => format!("{:.1} s", duration.as_secs_f64()),
        None => "none".into(),
    }
}

fn variants() -> Vec<GuardVariant> {
    let mut variants = vec![GuardVariant::new::<StaticLimit, FifoQueue>(
        "none",
        GuardMode::ConnectionLimit,
    )];
    variants.extend([
        GuardVariant::new::<StaticLimit, FifoQueue>("static, arrival", GuardMode::BoundedQueue),
        GuardVariant::new::<StaticLimit, AdaptiveLifo>(
            "static, LIFO+CoDel",
            GuardMode::SojournControl,
        ),
        GuardVariant::new::<StaticLimit, PriorityQueue>(
            "static, priority",
            GuardMode::BoundedQueue,
        ),
        GuardVariant::new::<StaticLimit, PriorityQueue>(
            "static, priority+CoDel",
            GuardMode::SojournControl,
        ),
        GuardVariant::new::<StaticLimit, PriorityQueue>(
            "static, whole",
            GuardMode::AdaptiveThreshold,
        ),
    ]);
    variants.extend([
        GuardVariant::new::<AimdLimit, FifoQueue>("AIMD, arrival", GuardMode::BoundedQueue),
        GuardVariant::new::<AimdLimit, AdaptiveLifo>("AIMD, LIFO+CoDel", GuardMode::SojournControl),
        GuardVariant::new::<AimdLimit, PriorityQueue>(
            "AIMD, priority+CoDel",
            GuardMode::SojournControl,
        ),
        GuardVariant::new::<AimdLimit, PriorityQueue>("AIMD, whole", GuardMode::AdaptiveThreshold),
    ]);
    variants.extend([
        GuardVariant::new::<GradientLimit, FifoQueue>("gradient, arrival", GuardMode::BoundedQueue),
        GuardVariant::new::<GradientLimit, AdaptiveLifo>(
            "gradient, LIFO+CoDel",
            GuardMode::SojournControl,
        ),
        GuardVariant::new::<GradientLimit, PriorityQueue>(
            "gradient, priority",
            GuardMode::BoundedQueue,
        ),
        GuardVariant::new::<GradientLimit, PriorityQueue>(
            "gradient, priority+CoDel",
            GuardMode::SojournControl,
        ),
        GuardVariant::new::<GradientLimit, PriorityQueue>(
            "gradient, whole",
            GuardMode::AdaptiveThreshold,
        ),
    ]);
    variants
}
