use std::time::Duration;

/// Part that is left of a sum or mean that fades by `memory`, after `elapsed` seconds.
#[must_use]
pub(crate) fn decay_factor(elapsed_seconds: f64, time_constant: Duration) -> f64 {
    (-elapsed_seconds / time_constant.as_secs_f64()).exp()
}
