/// Running and queued calls of a service or target divided by its concurrency limit; 1 is full.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QueuePressure {
    pub total: f64,
    /// The same without the queued calls of the lowest rank. They wait behind all others, so a long
    /// queue of them does not delay calls of higher ranks.
    pub urgent: f64,
}

impl QueuePressure {
    /// Pressure of a queue without calls of the lowest rank.
    #[must_use]
    pub const fn uniform(pressure: f64) -> Self {
        Self {
            total: pressure,
            urgent: pressure,
        }
    }

    /// Weighted mean with a newer measurement; `decay` is the weight of the older one.
    pub(super) fn update(&mut self, newer: Self, decay: f64) {
        let mean = |older: f64, newer: f64| older * decay + newer * (1.0 - decay);
        self.total = mean(self.total, newer.total);
        self.urgent = mean(self.urgent, newer.urgent);
    }

    pub(super) fn scale(&mut self, factor: f64) {
        self.total *= factor;
        self.urgent *= factor;
    }
}
