use {
    crate::deployments,
    banyantrestle::{replay::TraceExpectation, time::TimePoint},
    standins::model::{ClassDemand, LoadScenario, ScenarioPhase},
    std::time::Duration,
};

const SLOTS: u32 = 4;
/// Against the slots, in the trace with overstated slots.
const OVERSTATED: u32 = 3;
const THRASH: f64 = 0.3;
const CALM_DEMAND: f64 = 0.5;
const SURGE_DEMAND: f64 = 3.0;
const DEEP_SLOWDOWN: f64 = 10.0;
const BEFORE: Duration = Duration::from_secs(2);
const PRESSURE: Duration = Duration::from_secs(2);
const AFTER: Duration = Duration::from_secs(7);
/// Stated target: time in which all is served again.
const RECOVERY: Duration = Duration::from_secs(2);
/// Stated target: share of the highest class that is served, in %.
const HIGHEST_PERCENT: u8 = 99;
/// Stated target: goodput under threefold demand, in % of the capacity.
const GOODPUT_PERCENT: u8 = 95;

/// One trace to record.
pub struct TracePlan {
    pub scenario: LoadScenario,
    /// What the trace states, in the order of time.
    pub expectations: Vec<PlannedExpectation>,
}

/// An expectation and when it must hold.
#[derive(Clone, Copy, Debug)]
pub struct PlannedExpectation {
    pub at: TimePoint,
    pub expectation: TraceExpectation,
}

/// Traces of both deployments.
pub fn all() -> Vec<TracePlan> {
    let kereru = deployments::kereru_classes;
    let kita = deployments::kita_classes;
    vec![
        surge("kereru-surge", kereru()),
        slow_dependency("kereru-slow-dependency", kereru()),
        cold_start("kereru-cold-start", kereru()),
        misleading_report("kereru-reports-overload", kereru(), 200),
        surge("kita-surge", kita()),
        slow_dependency("kita-slow-dependency", kita()),
        cold_start("kita-cold-start", kita()),
        overstated_slots("kita-reports-idle", kita()),
    ]
}

fn surge(name: &'static str, classes: Vec<ClassDemand>) -> TracePlan {
    let scenario = scenario(name, classes);
    let mut expectations = common_expectations(&scenario);
    expectations.push(goodput(&scenario));
    plan(scenario, expectations)
}

fn slow_dependency(name: &'static str, classes: Vec<ClassDemand>) -> TracePlan {
    let mut scenario = scenario(name, classes);
    scenario.phases[1] = ScenarioPhase {
        slowdown: DEEP_SLOWDOWN,
        ..ScenarioPhase::new(PRESSURE, CALM_DEMAND)
    };
    let expectations = common_expectations(&scenario);
    plan(scenario, expectations)
}

fn cold_start(name: &'static str, classes: Vec<ClassDemand>) -> TracePlan {
    let mut scenario = scenario(name, classes);
    scenario.phases.remove(0);
    scenario.phases[0] = ScenarioPhase {
        available_capacity: 0.25..1.0,
        ..ScenarioPhase::new(PRESSURE, CALM_DEMAND)
    };
    scenario.pressure_phase = 0;
    let expectations = common_expectations(&scenario);
    plan(scenario, expectations)
}

fn misleading_report(name: &'static str, classes: Vec<ClassDemand>, percent: u32) -> TracePlan {
    let mut plan = surge(name, classes);
    for phase in &mut plan.scenario.phases {
        phase.reported_utilization_percent = Some(percent);
    }
    plan
}

fn overstated_slots(name: &'static str, classes: Vec<ClassDemand>) -> TracePlan {
    let mut scenario = scenario(name, classes);
    scenario.announced_slots = SLOTS * OVERSTATED;
    for phase in &mut scenario.phases {
        phase.reported_utilization_percent = Some(0);
    }
    let expectations = common_expectations(&scenario);
    plan(scenario, expectations)
}

fn scenario(name: &'static str, classes: Vec<ClassDemand>) -> LoadScenario {
    LoadScenario {
        name,
        classes,
        capacity: SLOTS,
        announced_slots: SLOTS,
        thrash: THRASH,
        phases: vec![
            ScenarioPhase::new(BEFORE, CALM_DEMAND),
            ScenarioPhase::new(PRESSURE, SURGE_DEMAND),
            ScenarioPhase::new(AFTER, CALM_DEMAND),
        ],
        pressure_phase: 1,
        eager_retry_ratio: 1.0,
    }
}

fn plan(scenario: LoadScenario, mut expectations: Vec<PlannedExpectation>) -> TracePlan {
    expectations.sort_by_key(|planned| planned.at);
    TracePlan {
        scenario,
        expectations,
    }
}

fn common_expectations(scenario: &LoadScenario) -> Vec<PlannedExpectation> {
    let pressure = scenario.pressure_span();
    let recovered = pressure.end + RECOVERY;
    let end = TimePoint::ORIGIN + scenario.length() - RECOVERY;
    let mut expectations = vec![
        expect(
            pressure.start,
            TraceExpectation::Refused {
                since_us: 0,
                most: 0,
            },
        ),
        expect(
            pressure.end,
            TraceExpectation::Served {
                rank: scenario.classes[0].rank,
                since_us: pressure.start.as_micros(),
                least_percent: HIGHEST_PERCENT,
            },
        ),
        expect(recovered, TraceExpectation::Threshold { most: 0 }),
        expect(
            end,
            TraceExpectation::Running {
                most: scenario.announced_slots,
            },
        ),
    ];
    let recoveries = scenario.classes.iter().map(|class| {
        expect(
            end,
            TraceExpectation::Served {
                rank: class.rank,
                since_us: recovered.as_micros(),
                least_percent: HIGHEST_PERCENT,
            },
        )
    });
    expectations.extend(recoveries);
    expectations
}

fn goodput(scenario: &LoadScenario) -> PlannedExpectation {
    let pressure = scenario.pressure_span();
    expect(
        pressure.end,
        TraceExpectation::Busy {
            since_us: pressure.start.as_micros(),
            least_percent: GOODPUT_PERCENT,
        },
    )
}

fn expect(at: TimePoint, expectation: TraceExpectation) -> PlannedExpectation {
    PlannedExpectation { at, expectation }
}
