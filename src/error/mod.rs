//! Errors with the step that failed and the peer involved.

mod step_error;

pub use step_error::{ProcessStep, StepError};
