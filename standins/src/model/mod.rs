//! A deterministic model of one target and its callers, for the decisions of one guard.
//!
//! It models a target that shares its capacity among its calls, callers of several classes that
//! return after a refusal, and what goes wrong: a surge, a slow service further down, a cold
//! start, overstated slots, a misleading load report. It models no network and no other target.

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
