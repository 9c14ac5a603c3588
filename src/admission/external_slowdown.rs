use {crate::time::TimePoint, std::time::Duration};

/// Slowdown that counts as none.
const HEALED_BOUND: f64 = 1.1;
/// Time after which the cause of a slowdown is first tried again; it doubles with each trial.
const FIRST_RETRIAL: Duration = Duration::from_secs(10);
const MAX_RETRIAL: Duration = Duration::from_secs(60);

/// Slowdown of a target that does not come from the number of its calls.
#[derive(Clone, Copy, Debug)]
pub(super) struct ExternalSlowdown {
    factor: f64,
    retrial_at: TimePoint,
    retrial_wait: Duration,
}

impl Default for ExternalSlowdown {
    fn default() -> Self {
        Self {
            factor: 1.0,
            retrial_at: TimePoint::ORIGIN,
            retrial_wait: FIRST_RETRIAL,
        }
    }
}

impl ExternalSlowdown {
    /// Holds that `slowdown` comes from outside.
    pub(super) fn note(&mut self, now: TimePoint, slowdown: f64) {
        self.factor = slowdown.max(1.0);
        if !self.is_settled(now) {
            self.retrial_at = now + self.retrial_wait;
            self.retrial_wait = (self.retrial_wait * 2).min(MAX_RETRIAL);
        }
    }

    /// Whether the cause has never been due for another trial since the target was healthy.
    pub(super) fn is_open(&self, now: TimePoint) -> bool {
        self.retrial_at == TimePoint::ORIGIN || self.is_settled(now)
    }

    /// Whether the cause is not tried again yet.
    pub(super) fn is_settled(&self, now: TimePoint) -> bool {
        now < self.retrial_at
    }

    /// The part of a measured slowdown that may come from the number of calls.
    pub(super) fn correct(&mut self, now: TimePoint, slowdown: f64) -> f64 {
        if slowdown < HEALED_BOUND {
            *self = Self::default();
        } else if now >= self.retrial_at {
            self.factor = 1.0;
        }
        self.factor = self.factor.min(slowdown).max(1.0);
        slowdown / self.factor
    }
}
