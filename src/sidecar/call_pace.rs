use {
    super::rate_bucket::MIN_RATE,
    crate::time::TimePoint,
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::time::Duration,
};

/// Time in which the rate doubles without any call.
const DOUBLING_TIME: Duration = Duration::from_secs(12);
/// Factors of the rate after a call that the target took, and after one that was refused.
const ACCEPTANCE_FACTOR: f64 = 1.05;
const REFUSAL_FACTOR: f64 = 0.65;
/// Maximum random number of tokens that a refused call costs on top.
const MAX_REFUSAL_DEBT: f64 = 0.1;
/// Time whose calls may be sent at once.
const BURST_TIME: Duration = Duration::from_millis(200);
/// Tokens that only urgent calls may take.
const URGENT_TOKENS: f64 = 1.0;

/// Paces the calls of one caller to a target with a rate limit.
///
/// The sidecar of the target enforces the limit. The pace keeps the callers near it together: each
/// starts with an equal share, raises its rate with each call that the target takes, and lowers it
/// with each that is refused. So callers with little demand leave their share to the others, and few
/// calls are refused.
#[derive(Clone, Debug)]
pub(super) struct CallPace {
    /// Limit of the target, in calls per second.
    limit: f64,
    /// Limit divided by the number of callers; the rate is not below it, so that callers which all
    /// have demand use up the limit.
    fair_share: f64,
    /// Calls per second of this caller.
    rate: f64,
    tokens: f64,
    updated_at: TimePoint,
    rng: SmallRng,
}

impl CallPace {
    /// Creates the pace of one caller; callers with different seeds don't send at the same times.
    pub(super) fn new(now: TimePoint, limit: f64, callers: usize, seed: u64) -> Self {
        let mut pace = Self {
            limit: MIN_RATE,
            fair_share: MIN_RATE,
            rate: 0.0,
            tokens: 0.0,
            updated_at: now,
            rng: SmallRng::seed_from_u64(seed),
        };
        pace.set_limit(limit, callers);
        pace.tokens = pace.rng.random();
        pace.rate = pace.fair_share;
        pace
    }

    pub(super) fn set_limit(&mut self, limit: f64, callers: usize) {
        let limit = limit.max(MIN_RATE);
        let callers = u32::try_from(callers.max(1)).unwrap_or(u32::MAX);
        self.rate *= limit / self.limit;
        self.limit = limit;
        self.fair_share = limit / f64::from(callers);
    }

    /// Whether a call may be sent now.
    pub(super) fn is_ready(&mut self, now: TimePoint) -> bool {
        self.delay(now, true).is_zero()
    }

    /// Time until a call may be sent; one that is not urgent leaves a token for one that is.
    pub(super) fn delay(&mut self, now: TimePoint, is_urgent: bool) -> Duration {
        self.refill(now);
        let needed = if is_urgent { 1.0 } else { 1.0 + URGENT_TOKENS };
        Duration::from_secs_f64((needed - self.tokens).max(0.0) / self.rate)
    }

    /// Counts a call that is sent, whether the pace has allowed it or not.
    pub(super) fn record_call(&mut self) {
        self.tokens = (self.tokens - 1.0).max(-1.0);
    }

    /// Records that the target took a call.
    pub(super) fn record_acceptance(&mut self) {
        self.rate = (self.rate * ACCEPTANCE_FACTOR).min(self.limit);
    }

    /// Records that the target's sidecar refused a call for the limit.
    pub(super) fn record_refusal(&mut self) {
        self.rate = (self.rate * REFUSAL_FACTOR).max(self.fair_share);
        self.tokens -= self.rng.random::<f64>() * MAX_REFUSAL_DEBT;
    }

    fn refill(&mut self, now: TimePoint) {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        self.updated_at = now;
        let burst = (self.rate * BURST_TIME.as_secs_f64()).max(1.0 + URGENT_TOKENS);
        self.tokens = (self.tokens + elapsed * self.rate).min(burst);
        let growth = (elapsed / DOUBLING_TIME.as_secs_f64()).exp2();
        self.rate = (self.rate * growth).min(self.limit);
    }
}
