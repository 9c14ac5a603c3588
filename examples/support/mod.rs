//! Code shared by several examples: scaled-down deployments, fleets of targets with and without
//! daemons, scenarios of overload and faults, and the measurements of a run.

#![allow(
    dead_code,
    unused_imports,
    reason = "each example uses only some of the items"
)]

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
