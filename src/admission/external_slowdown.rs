use {crate::time::TimePoint, std::time::Duration};

/// Slowdown below which a target counts as healthy.
const HEALTHY_SLOWDOWN: f64 = 1.1;
/// Time after which the cause of a slowdown is first evaluated again; it doubles with each further
/// attribution to an external cause.
const FIRST_REEVALUATION_DELAY: Duration = Duration::from_secs(10);
const MAX_REEVALUATION_DELAY: Duration = Duration::from_secs(60);

/// Slowdown of a target that is attributed to a cause other than its number of concurrent calls.
#[derive(Clone, Copy, Debug)]
pub(super) struct ExternalSlowdown {
    /// Ratio of latency to its baseline that the external cause explains; at least 1.
    factor: f64,
    reevaluate_at: TimePoint,
    reevaluation_delay: Duration,
}

impl Default for ExternalSlowdown {
    fn default() -> Self {
        Self {
            factor: 1.0,
            reevaluate_at: TimePoint::ORIGIN,
            reevaluation_delay: FIRST_REEVALUATION_DELAY,
        }
    }
}

impl ExternalSlowdown {
    /// Attributes `slowdown` to an external cause.
    pub(super) fn record(&mut self, now: TimePoint, slowdown: f64) {
        self.factor = slowdown.max(1.0);
        if !self.is_attributed(now) {
            self.reevaluate_at = now + self.reevaluation_delay;
            self.reevaluation_delay = (self.reevaluation_delay * 2).min(MAX_REEVALUATION_DELAY);
        }
    }

    /// Whether a slowdown may be attributed to an external cause without a trial cut. This is so
    /// unless an attribution has expired since the target was last healthy.
    pub(super) fn may_attribute(&self, now: TimePoint) -> bool {
        self.reevaluate_at == TimePoint::ORIGIN || self.is_attributed(now)
    }

    /// Whether the attribution to an external cause has not yet expired.
    pub(super) fn is_attributed(&self, now: TimePoint) -> bool {
        now < self.reevaluate_at
    }

    /// Part of a measured slowdown that the number of concurrent calls may cause.
    pub(super) fn internal_slowdown(&mut self, now: TimePoint, slowdown: f64) -> f64 {
        if slowdown < HEALTHY_SLOWDOWN {
            *self = Self::default();
        } else if now >= self.reevaluate_at {
            self.factor = 1.0;
        }
        self.factor = self.factor.min(slowdown).max(1.0);
        slowdown / self.factor
    }
}
