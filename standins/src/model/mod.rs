//! Deterministic model of one target and its callers, to exercise the decisions of one guard.
//!
//! The target shares its capacity among its calls, and callers of several classes retry after a
//! refusal. Scenarios can have a surge, a slow dependency, a cold start, overstated slots and a
//! misleading load report. Neither the network nor other targets are modelled.

mod call_source;
mod class_demand;
mod guard_observer;
mod load_scenario;
mod model_guard;
mod model_run;
mod run_result;
mod service_model;

pub use {
    call_source::{CallSource, ModelCall},
    class_demand::ClassDemand,
    guard_observer::{GuardObserver, NullObserver},
    load_scenario::{LoadScenario, ScenarioPhase},
    model_guard::ModelGuard,
    model_run::ModelRun,
    run_result::{ClassResult, RunResult},
    service_model::ServiceModel,
};
