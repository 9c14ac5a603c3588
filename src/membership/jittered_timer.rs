use {
    crate::time::TimePoint,
    rand::{Rng, RngExt},
    std::time::Duration,
};

/// A step that the core repeats, spread a little so that members do not act in unison.
#[derive(Clone, Copy, Debug)]
pub struct JitteredTimer {
    interval: Duration,
    next_due_at: TimePoint,
}

impl JitteredTimer {
    /// First due at a random point of the first period.
    pub fn start<R: Rng>(interval: Duration, now: TimePoint, rng: &mut R) -> Self {
        Self {
            interval,
            next_due_at: now + interval.mul_f64(rng.random_range(0.0..1.0)),
        }
    }

    /// Whether the step is due; if so the next one is set.
    pub fn fire_if_due<R: Rng>(&mut self, now: TimePoint, rng: &mut R) -> bool {
        if now < self.next_due_at {
            return false;
        }
        self.next_due_at = now + self.interval.mul_f64(rng.random_range(0.9..1.1));
        true
    }
}
