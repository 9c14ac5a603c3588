use {
    crate::time::TimePoint,
    rand::{Rng, RngExt},
    std::time::Duration,
};

/// Failures in a row that count as an outage.
const OUTAGE_FAILURES: u32 = 3;
const FIRST_REST: Duration = Duration::from_millis(250);
const MAX_REST: Duration = Duration::from_secs(4);
/// Time after which a probe that gave no result is given up.
const PROBE_LIMIT: Duration = Duration::from_secs(2);

/// Circuit breaker before the table service.
///
/// In an outage claims are refused at once; one at a time goes through as a probe.
#[derive(Clone, Debug, Default)]
pub struct OutageGate {
    failures: u32,
    rest: Duration,
    closed_until: Option<TimePoint>,
    probe_sent: Option<TimePoint>,
}

impl OutageGate {
    /// Lets a claim through, or tells when to come back.
    ///
    /// # Errors
    /// The table service is out; the time until the next probe.
    pub fn pass(&mut self, now: TimePoint) -> Result<(), Duration> {
        let Some(until) = self.closed_until else {
            return Ok(());
        };
        if now < until {
            return Err(now.until(until));
        }
        let is_probed = self
            .probe_sent
            .is_some_and(|sent| now.since(sent) < PROBE_LIMIT);
        if is_probed {
            return Err(self.rest);
        }
        self.probe_sent = Some(now);
        Ok(())
    }

    /// The table service has answered.
    pub fn on_success(&mut self) {
        *self = Self::default();
    }

    /// The table service has refused or not answered.
    pub fn on_failure(&mut self, now: TimePoint, rng: &mut impl Rng) {
        self.failures = self.failures.saturating_add(1);
        self.probe_sent = None;
        if self.failures < OUTAGE_FAILURES {
            return;
        }
        self.rest = (self.rest * 2).clamp(FIRST_REST, MAX_REST);
        let jitter = rng.random_range(0.75..1.25);
        self.closed_until = Some(now + self.rest.mul_f64(jitter));
    }

    /// When a refused caller may come back.
    #[must_use]
    pub fn retry_after(&self, now: TimePoint) -> Duration {
        let rest = self.rest.max(FIRST_REST);
        match self.closed_until {
            Some(until) => now.until(until).max(rest),
            None => rest,
        }
    }

    #[must_use]
    pub fn is_closed(&self, now: TimePoint) -> bool {
        self.closed_until.is_some_and(|until| now < until)
    }
}
