use std::time::Instant;

/// Token bucket that holds the requests of one second at most.
#[derive(Debug)]
pub(super) struct RateCap {
    tokens: f64,
    refilled_at: Instant,
}

impl RateCap {
    pub(super) fn full(per_s: u32, now: Instant) -> Self {
        Self {
            tokens: f64::from(per_s),
            refilled_at: now,
        }
    }

    pub(super) fn admit(&mut self, per_s: u32, now: Instant) -> bool {
        let elapsed = now.duration_since(self.refilled_at).as_secs_f64();
        let limit = f64::from(per_s);
        self.refilled_at = now;
        self.tokens = (self.tokens + elapsed * limit).min(limit);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
