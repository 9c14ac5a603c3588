//! Errors that name the step and the peer at which they arose.

mod step_error;

pub use step_error::{ProcessStep, StepError};
