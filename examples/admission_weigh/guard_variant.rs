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

/// Connections that the target accepts; the only bound on its calls in
/// [`GuardMode::ConnectionLimit`].
const MAX_CONNECTIONS: u32 = 230;

/// Which features of the guard are enabled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GuardMode {
    /// Only the connections of the target bound the calls.
    ConnectionLimit,
    /// Calls wait in a queue with an order, a capacity and deadlines.
    BoundedQueue,
    /// As `BoundedQueue`, and calls are dropped from a standing queue.
    SojournControl,
    /// As `SojournControl`, and overload raises the admission threshold.
    AdaptiveThreshold,
}

/// A combination of concurrency limit, queue and guard mode.
pub struct GuardVariant {
    pub name: &'static str,
    pub mode: GuardMode,
    pub run: fn(&LoadScenario, GuardMode, u64) -> RunResult,
}

impl GuardVariant {
    pub fn new<L: ConcurrencyLimit, Q: AdmissionQueue>(
        name: &'static str,
        mode: GuardMode,
    ) -> Self {
        Self {
            name,
            mode,
            run: run::<L, Q>,
        }
    }
}

fn run<L: ConcurrencyLimit, Q: AdmissionQueue>(
    scenario: &LoadScenario,
    mode: GuardMode,
    seed: u64,
) -> RunResult {
    let settings = settings(scenario, mode);
    let guard = AdmissionGuard::<L, Q>::new(settings, TimePoint::ORIGIN);
    ModelRun::new(scenario, guard, &mut NullObserver, seed).run()
}

fn settings(scenario: &LoadScenario, mode: GuardMode) -> GuardSettings {
    let slots = match mode {
        GuardMode::ConnectionLimit => MAX_CONNECTIONS,
        _ => scenario.announced_slots,
    };
    let threshold = match mode {
        GuardMode::AdaptiveThreshold => ThresholdMode::Adaptive,
        _ => ThresholdMode::AdmitAll,
    };
    let sojourn = match mode {
        GuardMode::SojournControl | GuardMode::AdaptiveThreshold => SojournMode::Controlled,
        _ => SojournMode::Unbounded,
    };
    GuardSettings {
        threshold,
        sojourn,
        ..GuardSettings::new(slots, &OverloadPolicy::default())
    }
}
