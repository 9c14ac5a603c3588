use {
    standins::model::{ClassDemand, LoadScenario, ScenarioPhase},
    std::time::Duration,
};

/// Against the slots, where a target overstates them.
const OVERSTATED: u32 = 3;
/// Demand of an ordinary hour against the capacity.
const CALM_DEMAND: f64 = 0.7;
const SURGE_DEMAND: f64 = 3.0;
const DEEP_SLOWDOWN: f64 = 10.0;
const BEFORE: Duration = Duration::from_secs(4);
const PRESSURE: Duration = Duration::from_secs(8);
const AFTER: Duration = Duration::from_secs(8);
const THRASH: f64 = 0.3;

/// All scenarios that the ways are weighed on, for a target of so many slots.
pub fn all(slots: u32) -> Vec<LoadScenario> {
    vec![
        surge("threefold surge", slots, 0.0),
        impatient_surge(slots),
        overstated(surge(
            "threefold surge, slots overstated threefold",
            slots,
            THRASH,
        )),
        slow_dependency(slots),
        lost_capacity(slots),
        cold_start(slots),
        reporting(
            surge("threefold surge, reports 200% always", slots, THRASH),
            200,
        ),
        overstated(reporting(
            surge(
                "threefold surge, slots overstated, reports 0% always",
                slots,
                THRASH,
            ),
            0,
        )),
    ]
}

fn overstated(scenario: LoadScenario) -> LoadScenario {
    LoadScenario {
        announced_slots: scenario.capacity * OVERSTATED,
        ..scenario
    }
}

/// Callers return at once, and are gone soon after.
fn impatient_surge(slots: u32) -> LoadScenario {
    LoadScenario {
        eager_retry_ratio: 1.0,
        ..surge("threefold surge, all callers retry at once", slots, 0.0)
    }
}

fn surge(name: &'static str, slots: u32, thrash: f64) -> LoadScenario {
    LoadScenario {
        name,
        classes: classes(),
        capacity: slots,
        announced_slots: slots,
        excess_slowdown: thrash,
        phases: vec![
            ScenarioPhase::new(BEFORE, CALM_DEMAND),
            ScenarioPhase::new(PRESSURE, SURGE_DEMAND),
            ScenarioPhase::new(AFTER, CALM_DEMAND),
        ],
        pressure_phase: 1,
        eager_retry_ratio: 0.5,
    }
}

fn slow_dependency(slots: u32) -> LoadScenario {
    let mut scenario = surge("tenfold slower further down, then healed", slots, 0.0);
    scenario.phases[1] = ScenarioPhase {
        slowdown: DEEP_SLOWDOWN,
        ..ScenarioPhase::new(PRESSURE, CALM_DEMAND)
    };
    scenario
}

fn lost_capacity(slots: u32) -> LoadScenario {
    let mut scenario = surge("a fifth of the capacity, then healed", slots, THRASH);
    scenario.phases[1] = ScenarioPhase {
        available_capacity: 0.2..0.2,
        ..ScenarioPhase::new(PRESSURE, CALM_DEMAND)
    };
    scenario
}

fn cold_start(slots: u32) -> LoadScenario {
    let mut scenario = surge(
        "cold start, a tenth of the capacity at first",
        slots,
        THRASH,
    );
    scenario.phases.remove(0);
    scenario.phases[0] = ScenarioPhase {
        available_capacity: 0.1..1.0,
        ..ScenarioPhase::new(PRESSURE, CALM_DEMAND)
    };
    scenario.pressure_phase = 0;
    scenario
}

fn reporting(mut scenario: LoadScenario, percent: u32) -> LoadScenario {
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
