use std::time::Duration;

/// Factor by which an exponentially decaying value shrinks in `elapsed_seconds`.
#[must_use]
pub(crate) fn decay_factor(elapsed_seconds: f64, time_constant: Duration) -> f64 {
    (-elapsed_seconds / time_constant.as_secs_f64()).exp()
}
