//! What the examples share: deployments in small, fleets with and without daemons, scenarios.

#![allow(dead_code, unused_imports, reason = "each example uses a part")]

mod capacity_probe;
mod daemon_fleet;
mod deployment_spec;
mod pressure_scenario;
mod run_measurement;
mod target_fleet;
mod trial_run;

pub use {
    capacity_probe::probe_capacity,
    deployment_spec::{DeploymentSpec, service_name},
    pressure_scenario::{PressureKind, PressureScenario},
    run_measurement::RunMeasurement,
    trial_run::{TrialMode, TrialResult, TrialRun},
};
