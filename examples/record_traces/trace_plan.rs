use {
    crate::deployments,
    banyantrestle::{replay::TraceExpectation, time::TimePoint},
    standins::model::{ClassDemand, LoadScenario, ScenarioPhase},
    std::time::Duration,
};

/// Calls that the target runs at full speed.
const SLOTS: u32 = 4;
/// Announced slots per real slot in the trace of a target that overstates its slots.
const OVERSTATEMENT_FACTOR: u32 = 3;
/// Relative growth of the work per call for each multiple of the capacity by which the running
/// calls exceed it.
const EXCESS_SLOWDOWN: f64 = 0.3;
/// Demand before and after the pressure, as a share of the capacity.
const NORMAL_DEMAND: f64 = 0.5;
/// Demand during a surge, as a share of the capacity.
const SURGE_DEMAND: f64 = 3.0;
/// Factor on the service time while a dependency is slow.
const DEPENDENCY_SLOWDOWN: f64 = 10.0;
/// Utilization reported by a target that always claims to be overloaded, in %.
const OVERLOAD_REPORT_PERCENT: u32 = 200;
/// Share of its capacity that a target has right after a cold start.
const COLD_START_CAPACITY_SHARE: f64 = 0.25;
const TIME_BEFORE_PRESSURE: Duration = Duration::from_secs(2);
const PRESSURE_TIME: Duration = Duration::from_secs(2);
const TIME_AFTER_PRESSURE: Duration = Duration::from_secs(7);
/// Goal: maximum time after the pressure until all calls are served again.
const RECOVERY_GOAL: Duration = Duration::from_secs(2);
/// Goal: minimum share of served calls, in %, for the highest class during the pressure and for
/// every class after the recovery.
const SERVED_GOAL_PERCENT: u8 = 99;
/// Goal: minimum goodput under threefold demand, in % of the capacity.
const GOODPUT_GOAL_PERCENT: u8 = 95;

/// One trace to record.
pub struct TracePlan {
    pub scenario: LoadScenario,
    /// Expectations that the trace contains, in chronological order.
    pub expectations: Vec<PlannedExpectation>,
}

/// Expectation, and the time at which it must hold.
#[derive(Clone, Copy, Debug)]
pub struct PlannedExpectation {
    pub at: TimePoint,
    pub expectation: TraceExpectation,
}

/// Returns the plans of the traces of both deployments.
pub fn all_plans() -> Vec<TracePlan> {
    let kereru = deployments::kereru_classes;
    let kita = deployments::kita_classes;
    vec![
        surge("kereru-surge", kereru()),
        slow_dependency("kereru-slow-dependency", kereru()),
        cold_start("kereru-cold-start", kereru()),
        misleading_report("kereru-reports-overload", kereru(), OVERLOAD_REPORT_PERCENT),
        surge("kita-surge", kita()),
        slow_dependency("kita-slow-dependency", kita()),
        cold_start("kita-cold-start", kita()),
        overstated_slots("kita-reports-idle", kita()),
    ]
}

fn surge(name: &'static str, classes: Vec<ClassDemand>) -> TracePlan {
    let scenario = base_scenario(name, classes);
    let mut expectations = common_expectations(&scenario);
    expectations.push(goodput_expectation(&scenario));
    sorted_plan(scenario, expectations)
}

fn slow_dependency(name: &'static str, classes: Vec<ClassDemand>) -> TracePlan {
    let mut scenario = base_scenario(name, classes);
    scenario.phases[1] = ScenarioPhase {
        slowdown: DEPENDENCY_SLOWDOWN,
        ..ScenarioPhase::new(PRESSURE_TIME, NORMAL_DEMAND)
    };
    let expectations = common_expectations(&scenario);
    sorted_plan(scenario, expectations)
}

fn cold_start(name: &'static str, classes: Vec<ClassDemand>) -> TracePlan {
    let mut scenario = base_scenario(name, classes);
    scenario.phases.remove(0);
    scenario.phases[0] = ScenarioPhase {
        available_capacity: COLD_START_CAPACITY_SHARE..1.0,
        ..ScenarioPhase::new(PRESSURE_TIME, NORMAL_DEMAND)
    };
    scenario.pressure_phase = 0;
    let expectations = common_expectations(&scenario);
    sorted_plan(scenario, expectations)
}

fn misleading_report(
    name: &'static str,
    classes: Vec<ClassDemand>,
    reported_percent: u32,
) -> TracePlan {
    let mut plan = surge(name, classes);
    for phase in &mut plan.scenario.phases {
        phase.reported_utilization_percent = Some(reported_percent);
    }
    plan
}

fn overstated_slots(name: &'static str, classes: Vec<ClassDemand>) -> TracePlan {
    let mut scenario = base_scenario(name, classes);
    scenario.announced_slots = SLOTS * OVERSTATEMENT_FACTOR;
    for phase in &mut scenario.phases {
        phase.reported_utilization_percent = Some(0);
    }
    let expectations = common_expectations(&scenario);
    sorted_plan(scenario, expectations)
}

fn base_scenario(name: &'static str, classes: Vec<ClassDemand>) -> LoadScenario {
    LoadScenario {
        name,
        classes,
        capacity: SLOTS,
        announced_slots: SLOTS,
        excess_slowdown: EXCESS_SLOWDOWN,
        phases: vec![
            ScenarioPhase::new(TIME_BEFORE_PRESSURE, NORMAL_DEMAND),
            ScenarioPhase::new(PRESSURE_TIME, SURGE_DEMAND),
            ScenarioPhase::new(TIME_AFTER_PRESSURE, NORMAL_DEMAND),
        ],
        pressure_phase: 1,
        eager_retry_ratio: 1.0,
    }
}

fn sorted_plan(scenario: LoadScenario, mut expectations: Vec<PlannedExpectation>) -> TracePlan {
    expectations.sort_by_key(|planned| planned.at);
    TracePlan {
        scenario,
        expectations,
    }
}

fn common_expectations(scenario: &LoadScenario) -> Vec<PlannedExpectation> {
    let pressure = scenario.pressure_span();
    let recovery_end = pressure.end + RECOVERY_GOAL;
    let last_check = TimePoint::ORIGIN + scenario.length() - RECOVERY_GOAL;
    let mut expectations = vec![
        expectation_at(
            pressure.start,
            TraceExpectation::Refused {
                since_us: 0,
                most: 0,
            },
        ),
        expectation_at(
            pressure.end,
            TraceExpectation::Served {
                rank: scenario.classes[0].rank,
                since_us: pressure.start.as_micros(),
                least_percent: SERVED_GOAL_PERCENT,
            },
        ),
        expectation_at(recovery_end, TraceExpectation::Threshold { most: 0 }),
        expectation_at(
            last_check,
            TraceExpectation::Running {
                most: scenario.announced_slots,
            },
        ),
    ];
    let recovery_checks = scenario.classes.iter().map(|class| {
        expectation_at(
            last_check,
            TraceExpectation::Served {
                rank: class.rank,
                since_us: recovery_end.as_micros(),
                least_percent: SERVED_GOAL_PERCENT,
            },
        )
    });
    expectations.extend(recovery_checks);
    expectations
}

fn goodput_expectation(scenario: &LoadScenario) -> PlannedExpectation {
    let pressure = scenario.pressure_span();
    expectation_at(
        pressure.end,
        TraceExpectation::Busy {
            since_us: pressure.start.as_micros(),
            least_percent: GOODPUT_GOAL_PERCENT,
        },
    )
}

fn expectation_at(at: TimePoint, expectation: TraceExpectation) -> PlannedExpectation {
    PlannedExpectation { at, expectation }
}
