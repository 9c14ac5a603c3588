use {
    crate::time::TimePoint,
    rand::{Rng, RngExt},
    std::time::Duration,
};

/// A step that the core repeats, spread a little so that members do not act in unison.
#[derive(Clone, Copy, Debug)]
pub struct PeriodicStep {
    period: Duration,
    next: TimePoint,
}

impl PeriodicStep {
    /// First due at a random point of the first period.
    pub fn start<R: Rng>(period: Duration, now: TimePoint, rng: &mut R) -> Self {
        Self {
            period,
            next: now + period.mul_f64(rng.random_range(0.0..1.0)),
        }
    }

    /// Whether the step is due; if so the next one is set.
    pub fn is_due<R: Rng>(&mut self, now: TimePoint, rng: &mut R) -> bool {
        if now < self.next {
            return false;
        }
        self.next = now + self.period.mul_f64(rng.random_range(0.9..1.1));
        true
    }
}
