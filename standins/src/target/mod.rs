//! A stand-in target: slots, service time, calls on to other services, faults on command.

mod busy_time;
mod counted_place;
mod inbound_call;
mod run_ledger;
mod service_clock;
mod target_announcer;
mod target_control;
mod target_service;
mod target_settings;
mod target_standin;

pub use {
    run_ledger::{KeyRun, RunLedger, RunReport, RunStage},
    target_control::{LoadMode, TargetControl, TargetFault},
    target_settings::{ServiceTime, TargetSettings},
    target_standin::TargetStandin,
};
