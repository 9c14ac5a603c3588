//! Stand-in for the callers of a deployment.
//!
//! The requests of each class arrive in an open loop, at a rate that does not depend on the
//! responses. A [`RetryStrategy`] governs their retries, and a [`CallerReport`] counts the outcomes.

mod caller_fleet;
mod caller_recorder;
mod caller_report;
mod caller_settings;
mod recovery_time;

pub use {
    caller_fleet::CallerFleet,
    caller_report::{CallerReport, ClassReport, SeriesBucket, TimeSeries},
    caller_settings::{CallerClass, CallerSettings, RetryStrategy},
    recovery_time::{RunSpan, SERIES_STEP},
};
