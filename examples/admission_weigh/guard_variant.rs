use {
    banyantrestle::{
        admission::{
            AdmissionGuard, AdmissionQueue, ConcurrencyLimit, GuardSettings, SojournMode,
            ThresholdMode,
        },
        policy::OverloadPolicy,
        time::TimePoint,
    },
    standins::model::{LoadScenario, ModelRun, NullObserver, RunResult},
};

/// Connections that a target accepts when nothing else bounds its calls.
const CONNECTIONS: u32 = 230;

/// Which parts of the queue are on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueWay {
    /// Nothing but the connections bounds the calls.
    Connections,
    /// A queue with its order, capacity and deadlines.
    Plain,
    /// Standing queues are dropped as well.
    Sojourn,
    /// The threshold moves as well.
    Whole,
}

/// One way of admission.
pub struct GuardVariant {
    pub name: &'static str,
    pub way: QueueWay,
    pub run: fn(&LoadScenario, QueueWay, u64) -> RunResult,
}

impl GuardVariant {
    pub fn new<L: ConcurrencyLimit, Q: AdmissionQueue>(name: &'static str, way: QueueWay) -> Self {
        Self {
            name,
            way,
            run: run::<L, Q>,
        }
    }
}

fn run<L: ConcurrencyLimit, Q: AdmissionQueue>(
    scenario: &LoadScenario,
    way: QueueWay,
    seed: u64,
) -> RunResult {
    let settings = settings(scenario, way);
    let guard = AdmissionGuard::<L, Q>::new(settings, TimePoint::ORIGIN);
    ModelRun::new(scenario, guard, &mut NullObserver, seed).run()
}

fn settings(scenario: &LoadScenario, way: QueueWay) -> GuardSettings {
    let slots = match way {
        QueueWay::Connections => CONNECTIONS,
        _ => scenario.announced_slots,
    };
    let threshold = match way {
        QueueWay::Whole => ThresholdMode::Adaptive,
        _ => ThresholdMode::AdmitAll,
    };
    let sojourn = match way {
        QueueWay::Sojourn | QueueWay::Whole => SojournMode::Controlled,
        _ => SojournMode::Unbounded,
    };
    GuardSettings {
        threshold,
        sojourn,
        ..GuardSettings::new(slots, &OverloadPolicy::default())
    }
}
