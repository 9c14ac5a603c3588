//! Stand-in for a target: slots, service times, calls to other services, and faults that can be
//! switched on at run time.

mod busy_timer;
mod count_guard;
mod inbound_call;
mod run_ledger;
mod target_announcer;
mod target_control;
mod target_service;
mod target_settings;
mod target_standin;
mod time_sampler;

pub use {
    run_ledger::{KeyRun, RunLedger, RunReport, RunStage},
    target_control::{LoadMode, TargetControl, TargetFault},
    target_settings::{TargetSettings, TimeDistribution},
    target_standin::TargetStandin,
};
