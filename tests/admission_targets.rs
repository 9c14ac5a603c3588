//! Required goodput and recovery time under overload, in a simulation of one target.

use {
    banyantrestle::{
        admission::{AdmissionGuard, GradientLimit, GuardSettings},
        policy::OverloadPolicy,
        time::TimePoint,
    },
    standins::model::{
        ClassDemand, LoadScenario, ModelRun, NullObserver, RunResult, ScenarioPhase,
    },
    std::time::Duration,
};

/// Slots of services in both deployments.
const SLOTS: [u32; 3] = [20, 55, 130];
const SEEDS: std::ops::Range<u64> = 1..5;
/// Ratio of demand to the capacity of the target.
const NORMAL_DEMAND: f64 = 0.7;
const SURGE_DEMAND: f64 = 3.0;
/// Factor of the service time while a dependency is slow.
const DEPENDENCY_SLOWDOWN: f64 = 10.0;
/// Length of each phase of a scenario.
const PHASE: Duration = Duration::from_secs(4);
/// Required goodput, in percent of the work that the target could do.
const MIN_GOODPUT_PERCENT: f64 = 95.0;
/// Required share of the first attempts of the highest class that are served, in percent.
const MIN_HIGHEST_CLASS_PERCENT: f64 = 99.0;
/// Required recovery time.
const MAX_RECOVERY: Duration = Duration::from_secs(2);

fn class(
    name: &'static str,
    rank: u8,
    capacity_share: f64,
    work_ms: u64,
    depth: u8,
) -> ClassDemand {
    ClassDemand {
        name,
        rank,
        weight: u32::from(rank),
        capacity_share,
        work: Duration::from_millis(work_ms),
        deadline: Duration::from_secs(2),
        depth,
    }
}

fn scenario(slots: u32) -> LoadScenario {
    LoadScenario {
        name: "surge",
        classes: vec![
            class("purchase", 3, 0.15, 40, 2),
            class("browse", 2, 0.45, 15, 0),
            class("download", 1, 0.40, 120, 1),
        ],
        capacity: slots,
        announced_slots: slots,
        excess_slowdown: 0.0,
        phases: vec![
            ScenarioPhase::new(PHASE, NORMAL_DEMAND),
            ScenarioPhase::new(PHASE, SURGE_DEMAND),
            ScenarioPhase::new(PHASE, NORMAL_DEMAND),
        ],
        pressure_phase: 1,
        eager_retry_ratio: 1.0,
    }
}

fn run(scenario: &LoadScenario, seed: u64) -> RunResult {
    let settings = GuardSettings::new(scenario.announced_slots, &OverloadPolicy::default());
    let guard = AdmissionGuard::<GradientLimit>::new(settings, TimePoint::ORIGIN);
    ModelRun::new(scenario, guard, &mut NullObserver, seed).run()
}

fn run_and_check(scenario: &LoadScenario, seed: u64) -> RunResult {
    let result = run(scenario, seed);
    let name = format!(
        "{}, {} slots, seed {seed}",
        scenario.name, scenario.announced_slots
    );
    assert!(
        result.classes[0].served_percent() >= MIN_HIGHEST_CLASS_PERCENT,
        "{name}: {result:?}"
    );
    let recovery = result
        .throughput_recovery
        .expect("as many responses as new calls");
    assert!(recovery <= MAX_RECOVERY, "{name}: {recovery:?}");
    assert!(result.max_in_flight <= scenario.announced_slots, "{name}");
    result
}

#[test]
fn a_threefold_surge_keeps_goodput_and_recovers_in_time() {
    for slots in SLOTS {
        for seed in SEEDS {
            let result = run_and_check(&scenario(slots), seed);
            let goodput = result.goodput_percent;
            assert!(
                goodput >= MIN_GOODPUT_PERCENT,
                "{slots} slots, seed {seed}: {goodput}"
            );
            let recovery = result
                .full_recovery
                .expect("every first attempt is served again");
            assert!(
                recovery <= MAX_RECOVERY,
                "{slots} slots, seed {seed}: {recovery:?}"
            );
        }
    }
}

#[test]
fn a_slow_dependency_does_not_lower_goodput() {
    for slots in SLOTS {
        for seed in SEEDS {
            let mut scenario = scenario(slots);
            scenario.name = "slow dependency";
            scenario.phases[1] = ScenarioPhase {
                slowdown: DEPENDENCY_SLOWDOWN,
                ..ScenarioPhase::new(PHASE, NORMAL_DEMAND / 2.0)
            };
            let goodput = run_and_check(&scenario, seed).goodput_percent;
            assert!(
                goodput >= MIN_GOODPUT_PERCENT,
                "{slots} slots, seed {seed}: {goodput}"
            );
        }
    }
}

#[test]
fn a_cold_target_serves_its_highest_class() {
    for slots in SLOTS {
        for seed in SEEDS {
            let mut scenario = scenario(slots);
            scenario.name = "cold start";
            scenario.phases.remove(0);
            scenario.pressure_phase = 0;
            scenario.phases[0] = ScenarioPhase {
                available_capacity: 0.3..1.0,
                ..ScenarioPhase::new(PHASE, NORMAL_DEMAND)
            };
            run_and_check(&scenario, seed);
        }
    }
}

#[test]
fn a_misleading_report_costs_no_goodput() {
    for percent in [0, 200] {
        for seed in SEEDS {
            let mut scenario = scenario(SLOTS[0]);
            scenario.name = "misleading report";
            for phase in &mut scenario.phases {
                phase.reported_utilization_percent = Some(percent);
            }
            let goodput = run_and_check(&scenario, seed).goodput_percent;
            assert!(
                goodput >= MIN_GOODPUT_PERCENT,
                "{percent} %, seed {seed}: {goodput}"
            );
        }
    }
}

#[test]
fn no_call_is_refused_without_overload() {
    for slots in SLOTS {
        let mut scenario = scenario(slots);
        scenario.phases = vec![
            ScenarioPhase::new(PHASE, NORMAL_DEMAND / 2.0),
            ScenarioPhase::new(PHASE, NORMAL_DEMAND / 2.0),
        ];
        for seed in SEEDS {
            let result = run(&scenario, seed);
            let refused: u32 = result.classes.iter().map(|class| class.refused).sum();
            assert_eq!(
                (result.refused_before_pressure, refused),
                (0, 0),
                "{slots} slots, seed {seed}"
            );
        }
    }
}
