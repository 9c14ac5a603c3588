//! Processes under test, each started in a temporary directory with its settings.

mod condition_wait;
mod process_usage;
mod service_process;

pub use {
    condition_wait::wait_until,
    process_usage::ProcessUsage,
    service_process::{ProcessSignal, ServiceProcess},
};
