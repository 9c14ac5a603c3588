use {
    crate::time::TimePoint,
    rand::{Rng, RngExt},
    std::{ops::Range, time::Duration},
};

/// Number of consecutive failures after which the breaker opens.
const FAILURES_TO_OPEN: u32 = 3;
const MIN_OPEN_DURATION: Duration = Duration::from_millis(250);
const MAX_OPEN_DURATION: Duration = Duration::from_secs(4);
/// Random factor of the open duration, so that the daemons do not probe at the same time.
const OPEN_DURATION_JITTER: Range<f64> = 0.75..1.25;
/// Time after which a probe without a result no longer blocks the next one.
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);

/// Circuit breaker for the table service.
///
/// While it is open, it refuses claims without delay. After each open duration it admits one claim
/// at a time as a probe.
#[derive(Clone, Debug, Default)]
pub struct TableBreaker {
    failures: u32,
    open_duration: Duration,
    open_until: Option<TimePoint>,
    probe_sent_at: Option<TimePoint>,
}

impl TableBreaker {
    /// Admits a claim or returns the time after which it may be retried.
    ///
    /// # Errors
    /// The breaker is open; returns the time until the next probe.
    pub fn admit(&mut self, now: TimePoint) -> Result<(), Duration> {
        let Some(until) = self.open_until else {
            return Ok(());
        };
        if now < until {
            return Err(now.until(until));
        }
        let is_probe_pending = self
            .probe_sent_at
            .is_some_and(|sent| now.since(sent) < PROBE_TIMEOUT);
        if is_probe_pending {
            return Err(self.open_duration);
        }
        self.probe_sent_at = Some(now);
        Ok(())
    }

    /// Closes the breaker after a reply of the table service.
    pub fn on_success(&mut self) {
        *self = Self::default();
    }

    /// Counts a refusal or a missing reply of the table service.
    pub fn on_failure(&mut self, now: TimePoint, rng: &mut impl Rng) {
        self.failures = self.failures.saturating_add(1);
        self.probe_sent_at = None;
        if self.failures < FAILURES_TO_OPEN {
            return;
        }
        self.open_duration = (self.open_duration * 2).clamp(MIN_OPEN_DURATION, MAX_OPEN_DURATION);
        let jitter = rng.random_range(OPEN_DURATION_JITTER);
        self.open_until = Some(now + self.open_duration.mul_f64(jitter));
    }

    /// Time after which a refused caller may retry.
    #[must_use]
    pub fn retry_after(&self, now: TimePoint) -> Duration {
        let open_duration = self.open_duration.max(MIN_OPEN_DURATION);
        match self.open_until {
            Some(until) => now.until(until).max(open_duration),
            None => open_duration,
        }
    }

    #[must_use]
    pub fn is_open(&self, now: TimePoint) -> bool {
        self.open_until.is_some_and(|until| now < until)
    }
}
