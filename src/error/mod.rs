//! Errors with the step and the peer at which they occurred.

mod step_error;

pub use step_error::{ProcessStep, StepError};
