use {
    crate::time::TimePoint,
    rand::{Rng, RngExt},
    std::{ops::Range, time::Duration},
};

/// Range of the random factor of an interval.
const JITTER_FACTORS: Range<f64> = 0.9..1.1;

/// Periodic timer with random jitter, so that members do not act at the same time.
#[derive(Clone, Copy, Debug)]
pub struct JitteredTimer {
    interval: Duration,
    next_due_at: TimePoint,
}

impl JitteredTimer {
    /// Starts a timer that is first due at a random time within the first interval.
    pub fn start<R: Rng>(interval: Duration, now: TimePoint, rng: &mut R) -> Self {
        Self {
            interval,
            next_due_at: now + interval.mul_f64(rng.random_range(0.0..1.0)),
        }
    }

    /// Returns whether the timer is due; if so, also sets the next due time.
    pub fn fire_if_due<R: Rng>(&mut self, now: TimePoint, rng: &mut R) -> bool {
        if now < self.next_due_at {
            return false;
        }
        self.next_due_at = now + self.interval.mul_f64(rng.random_range(JITTER_FACTORS));
        true
    }
}
