//! Processes under test: started with settings of their own, signalled, killed at the end.

mod condition_wait;
mod process_usage;
mod service_process;

pub use {
    condition_wait::wait_until,
    process_usage::ProcessUsage,
    service_process::{ProcessSignal, ServiceProcess},
};
