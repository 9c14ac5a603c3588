//! Callers: open-loop arrivals by class, with hard or patient retries, and what became of them.

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
