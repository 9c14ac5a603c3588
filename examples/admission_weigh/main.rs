//! Weighs ways of admission against each other on a model of one target.
//!
//! ```sh
//! cargo run --release --example admission_weigh -- --seed 1
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
    std::time::Duration,
};

xflags::xflags! {
    /// Weighs ways of admission on a model of one target.
    cmd admission-weigh {
        /// Seed of the arrivals and service times; 1 if absent.
        optional --seed seed: u64
    }
}

fn main() {
    let flags = AdmissionWeigh::from_env_or_exit();
    let seed = flags.seed.unwrap_or(1);
    for scenario in scenarios::all() {
        print_scenario(&scenario, seed);
    }
}

fn print_scenario(scenario: &LoadScenario, seed: u64) {
    println!("\n{}, seed {seed}", scenario.name);
    println!(
        "{:<28} {:>8} {:>9} {:>8} {:>9} {:>9} {:>9} {:>7} {:>7}",
        "way",
        "goodput%",
        "weighted%",
        "highest%",
        "answering",
        "all back",
        "refused-0",
        "wasted",
        "running"
    );
    for variant in variants() {
        print_result(&variant, &(variant.run)(scenario, variant.way, seed));
    }
}

fn print_result(variant: &GuardVariant, result: &RunResult) {
    let wasted: u32 = result.classes.iter().map(|class| class.wasted).sum();
    println!(
        "{:<28} {:>8.1} {:>9.1} {:>8.1} {:>9} {:>9} {:>9} {:>7} {:>7}",
        variant.name,
        result.goodput_percent,
        result.weighted_percent,
        result.classes[0].served_percent(),
        seconds(result.answering),
        seconds(result.recovery),
        result.refused_before,
        wasted,
        result.most_in_flight,
    );
}

fn seconds(span: Option<Duration>) -> String {
    match span {
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
