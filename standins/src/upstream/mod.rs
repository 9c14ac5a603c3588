//! A target of the users' platform: signs its answers, tells of load, makes calls of its own
//! through the sidecar beside it, and fails in the ways that the platform allows.

mod run_recorder;
mod upstream_mode;
mod upstream_standin;

pub use {
    run_recorder::{RecordedRun, RunRecorder},
    upstream_mode::UpstreamMode,
    upstream_standin::UpstreamStandin,
};
