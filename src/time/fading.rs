use std::time::Duration;

/// Part that is left of a sum or mean that fades by `memory`, after `elapsed` seconds.
#[must_use]
pub(crate) fn fading(elapsed: f64, memory: Duration) -> f64 {
    (-elapsed / memory.as_secs_f64()).exp()
}
