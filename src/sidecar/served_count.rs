use {
    crate::time::{TimePoint, decay_factor},
    std::time::Duration,
};

/// Requests that have ended and those of them that were served, each decayed by its age.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ServedCount {
    pub(super) served: f64,
    pub(super) ended: f64,
    updated_at: TimePoint,
}

impl ServedCount {
    pub(super) fn record(&mut self, now: TimePoint, time_constant: Duration, is_served: bool) {
        self.advance(now, time_constant);
        self.ended += 1.0;
        self.served += f64::from(u8::from(is_served));
    }

    pub(super) fn advance(&mut self, now: TimePoint, time_constant: Duration) {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        let decay = decay_factor(elapsed, time_constant);
        self.served *= decay;
        self.ended *= decay;
        self.updated_at = now;
    }
}
