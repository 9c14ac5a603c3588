//! Weighs ways of admission against each other on a model of one target.
//!
//! ```sh
//! cargo run --release --example admission_weigh -- --seed 1 --runs 8
//! ```

mod adaptive_lifo;
mod arrival_queue;
mod guard_variant;
mod scenarios;

use {
    crate::{
        adaptive_lifo::AdaptiveLifo,
        arrival_queue::ArrivalQueue,
        guard_variant::{GuardVariant, QueueWay},
    },
    banyantrestle::admission::{AimdLimit, GradientLimit, PriorityQueue, StaticLimit},
    standins::model::{LoadScenario, RunResult},
    std::{ops::Range, time::Duration},
};

const DEFAULT_SEED: u64 = 1;
const DEFAULT_RUNS: u64 = 8;
const DEFAULT_SLOTS: u32 = 20;

xflags::xflags! {
    /// Weighs ways of admission on a model of one target.
    cmd admission-weigh {
        /// First seed of the arrivals and service times; 1 if absent.
        optional --seed seed: u64
        /// Runs of each way, with a seed each; 8 if absent.
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
    for scenario in scenarios::all(slots) {
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
        let run = |seed| (variant.run)(scenario, variant.way, seed);
        let results: Vec<RunResult> = seeds.clone().map(run).collect();
        print_results(&variant, &results);
    }
}

/// Means over the runs; the worst for the least and for the recovery.
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
        longest(results, |result| result.throughput_recovery),
        longest(results, |result| result.full_recovery),
        mean(results, |result| f64::from(result.refused_before_pressure)),
        mean(results, |result| f64::from(wasted(result))),
    );
}

fn mean(results: &[RunResult], figure: impl Fn(&RunResult) -> f64) -> f64 {
    let count = u32::try_from(results.len()).unwrap_or(u32::MAX);
    results.iter().map(figure).sum::<f64>() / f64::from(count)
}

fn longest(results: &[RunResult], figure: impl Fn(&RunResult) -> Option<Duration>) -> String {
    let spans: Option<Vec<Duration>> = results.iter().map(figure).collect();
    match spans.and_then(|spans| spans.into_iter().max()) {
        Some(span) => format!("{:.1} s", span.as_secs_f64()),
        None => "none".into(),
    }
}

fn variants() -> Vec<GuardVariant> {
    let mut variants = vec![GuardVariant::new::<StaticLimit, ArrivalQueue>(
        "none",
        QueueWay::Connections,
    )];
    variants.extend([
        GuardVariant::new::<StaticLimit, ArrivalQueue>("static, arrival", QueueWay::Plain),
        GuardVariant::new::<StaticLimit, AdaptiveLifo>("static, LIFO+CoDel", QueueWay::Sojourn),
        GuardVariant::new::<StaticLimit, PriorityQueue>("static, priority", QueueWay::Plain),
        GuardVariant::new::<StaticLimit, PriorityQueue>(
            "static, priority+CoDel",
            QueueWay::Sojourn,
        ),
        GuardVariant::new::<StaticLimit, PriorityQueue>("static, whole", QueueWay::Whole),
    ]);
    variants.extend([
        GuardVariant::new::<AimdLimit, ArrivalQueue>("AIMD, arrival", QueueWay::Plain),
        GuardVariant::new::<AimdLimit, AdaptiveLifo>("AIMD, LIFO+CoDel", QueueWay::Sojourn),
        GuardVariant::new::<AimdLimit, PriorityQueue>("AIMD, priority+CoDel", QueueWay::Sojourn),
        GuardVariant::new::<AimdLimit, PriorityQueue>("AIMD, whole", QueueWay::Whole),
    ]);
    variants.extend([
        GuardVariant::new::<GradientLimit, ArrivalQueue>("gradient, arrival", QueueWay::Plain),
        GuardVariant::new::<GradientLimit, AdaptiveLifo>("gradient, LIFO+CoDel", QueueWay::Sojourn),
        GuardVariant::new::<GradientLimit, PriorityQueue>("gradient, priority", QueueWay::Plain),
        GuardVariant::new::<GradientLimit, PriorityQueue>(
            "gradient, priority+CoDel",
            QueueWay::Sojourn,
        ),
        GuardVariant::new::<GradientLimit, PriorityQueue>("gradient, whole", QueueWay::Whole),
    ]);
    variants
}
