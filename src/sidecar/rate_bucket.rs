use {crate::time::TimePoint, std::time::Duration};

/// Rate at which a target that names a lower limit still gets calls, in calls per second: without
/// any, it could not say that the limit has ended.
pub(super) const MIN_RATE: f64 = 0.25;
/// Time whose tokens may be spent at once.
const BURST_TIME: Duration = Duration::from_millis(200);
/// Minimum of the tokens that may be spent at once.
const MIN_BURST: f64 = 3.0;

/// Token bucket for the calls to one target.
///
/// All calls to a target pass through the sidecar beside it, so its bucket limits the sum over all
/// callers. A bucket starts empty, and the time without calls or of a suspension pays out no more
/// than one burst.
#[derive(Clone, Debug)]
pub(super) struct RateBucket {
    /// Calls per second.
    rate: f64,
    tokens: f64,
    updated_at: TimePoint,
}

impl RateBucket {
    pub(super) fn new(now: TimePoint, limit: f64) -> Self {
        Self {
            rate: limit.max(MIN_RATE),
            tokens: 0.0,
            updated_at: now,
        }
    }

    pub(super) fn rate(&self) -> f64 {
        self.rate
    }

    pub(super) fn set_limit(&mut self, now: TimePoint, limit: f64) {
        self.refill(now);
        self.rate = limit.max(MIN_RATE);
        self.tokens = self.tokens.min(self.burst());
    }

    /// Takes the token of one call; false if there is none.
    pub(super) fn try_take(&mut self, now: TimePoint) -> bool {
        self.refill(now);
        let has_token = self.tokens >= 1.0;
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }

    fn refill(&mut self, now: TimePoint) {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.rate).min(self.burst());
        self.updated_at = now;
    }

    fn burst(&self) -> f64 {
        (self.rate * BURST_TIME.as_secs_f64()).max(MIN_BURST)
    }
}
