//! Stand-in for a target on the users' platform.
//!
//! It signs its responses, reports its load, makes calls of its own through the sidecar on its VM,
//! and fails in the ways that the platform allows.

mod run_recorder;
mod upstream_mode;
mod upstream_standin;

pub use {
    run_recorder::{RecordedRun, RunRecorder},
    upstream_mode::UpstreamMode,
    upstream_standin::{Arrival, UpstreamStandin},
};
