use {
    standins::model::{ClassDemand, LoadScenario, ScenarioPhase},
    std::time::Duration,
};

/// Announced slots of a target that overstates them, as a multiple of its capacity.
const OVERSTATEMENT_FACTOR: u32 = 3;
/// Demand outside a surge, as a share of the capacity.
const NORMAL_DEMAND: f64 = 0.7;
/// Demand in a surge, as a multiple of the capacity.
const SURGE_DEMAND: f64 = 3.0;
/// Factor on the service time while a service further down the call chain is slow.
const DEPENDENCY_SLOWDOWN: f64 = 10.0;
const WARM_UP_TIME: Duration = Duration::from_secs(4);
const PRESSURE_TIME: Duration = Duration::from_secs(8);
const COOL_DOWN_TIME: Duration = Duration::from_secs(8);
/// Relative growth of the work per call for each multiple of the capacity by which the running
/// calls exceed it.
const EXCESS_SLOWDOWN: f64 = 0.3;

/// All scenarios that the variants are compared in, for a target with this number of slots.
pub fn all_scenarios(slots: u32) -> Vec<LoadScenario> {
    vec![
        surge("threefold surge", slots, 0.0),
        impatient_surge(slots),
        with_overstated_slots(surge(
            "threefold surge, slots overstated threefold",
            slots,
            EXCESS_SLOWDOWN,
        )),
        slow_dependency(slots),
        lost_capacity(slots),
        cold_start(slots),
        with_reported_utilization(
            surge(
                "threefold surge, reports 200% always",
                slots,
                EXCESS_SLOWDOWN,
            ),
            200,
        ),
        with_overstated_slots(with_reported_utilization(
            surge(
                "threefold surge, slots overstated, reports 0% always",
                slots,
                EXCESS_SLOWDOWN,
            ),
            0,
        )),
    ]
}

fn with_overstated_slots(scenario: LoadScenario) -> LoadScenario {
    LoadScenario {
        announced_slots: scenario.capacity * OVERSTATEMENT_FACTOR,
        ..scenario
    }
}

/// All refused callers retry at once, without regard to the delay given in the refusal, and soon
/// give up.
fn impatient_surge(slots: u32) -> LoadScenario {
    LoadScenario {
        eager_retry_ratio: 1.0,
        ..surge("threefold surge, all callers retry at once", slots, 0.0)
    }
}

fn surge(name: &'static str, slots: u32, excess_slowdown: f64) -> LoadScenario {
    LoadScenario {
        name,
        classes: classes(),
        capacity: slots,
        announced_slots: slots,
        excess_slowdown,
        phases: vec![
            ScenarioPhase::new(WARM_UP_TIME, NORMAL_DEMAND),
            ScenarioPhase::new(PRESSURE_TIME, SURGE_DEMAND),
            ScenarioPhase::new(COOL_DOWN_TIME, NORMAL_DEMAND),
        ],
        pressure_phase: 1,
        eager_retry_ratio: 0.5,
    }
}

fn slow_dependency(slots: u32) -> LoadScenario {
    let mut scenario = surge("tenfold slower further down, then healed", slots, 0.0);
    scenario.phases[1] = ScenarioPhase {
        slowdown: DEPENDENCY_SLOWDOWN,
        ..ScenarioPhase::new(PRESSURE_TIME, NORMAL_DEMAND)
    };
    scenario
}

fn lost_capacity(slots: u32) -> LoadScenario {
    let mut scenario = surge(
        "a fifth of the capacity, then healed",
        slots,
        EXCESS_SLOWDOWN,
    );
    scenario.phases[1] = ScenarioPhase {
        available_capacity: 0.2..0.2,
        ..ScenarioPhase::new(PRESSURE_TIME, NORMAL_DEMAND)
    };
    scenario
}

fn cold_start(slots: u32) -> LoadScenario {
    let mut scenario = surge(
        "cold start, a tenth of the capacity at first",
        slots,
        EXCESS_SLOWDOWN,
    );
    scenario.phases.remove(0);
    scenario.phases[0] = ScenarioPhase {
        available_capacity: 0.1..1.0,
        ..ScenarioPhase::new(PRESSURE_TIME, NORMAL_DEMAND)
    };
    scenario.pressure_phase = 0;
    scenario
}

fn with_reported_utilization(mut scenario: LoadScenario, percent: u32) -> LoadScenario {
    for phase in &mut scenario.phases {
        phase.reported_utilization_percent = Some(percent);
    }
    scenario
}

fn classes() -> Vec<ClassDemand> {
    vec![
        ClassDemand {
            name: "purchase",
            rank: 4,
            weight: 100,
            capacity_share: 0.10,
            work: Duration::from_millis(40),
            deadline: Duration::from_secs(2),
            depth: 2,
        },
        ClassDemand {
            name: "slot-change",
            rank: 3,
            weight: 80,
            capacity_share: 0.05,
            work: Duration::from_millis(30),
            deadline: Duration::from_secs(2),
            depth: 1,
        },
        ClassDemand {
            name: "browse",
            rank: 2,
            weight: 10,
            capacity_share: 0.45,
            work: Duration::from_millis(15),
            deadline: Duration::from_secs(1),
            depth: 0,
        },
        ClassDemand {
            name: "download",
            rank: 1,
            weight: 5,
            capacity_share: 0.40,
            work: Duration::from_millis(120),
            deadline: Duration::from_secs(3),
            depth: 1,
        },
    ]
}
