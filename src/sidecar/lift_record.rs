use {super::served_count::ServedCount, crate::time::TimePoint, std::time::Duration};

/// Time constant of the count of lifted requests.
const COUNT_TIME_CONSTANT: Duration = Duration::from_secs(5);
/// Served requests that are assumed beside those that were counted.
const ASSUMED_SERVED: f64 = 2.0;
/// Share of the lifted requests that must be served for the lifting to go on.
const MIN_SERVED_SHARE: f64 = 0.5;
/// Factor of the rate of lifted requests below that.
const PROBE_FACTOR: f64 = 0.1;

/// Whether requests that are lifted to the highest rank are served.
///
/// Where even the highest rank is hardly served, such as at targets that fail most calls, a lifted
/// request only takes capacity and retries from those that could be completed.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LiftRecord {
    lifted: ServedCount,
}

impl LiftRecord {
    pub(super) fn record(&mut self, now: TimePoint, is_served: bool) {
        self.lifted.record(now, COUNT_TIME_CONSTANT, is_served);
    }

    /// Factor of the rate at which requests are lifted.
    pub(super) fn rate_factor(&mut self, now: TimePoint) -> f64 {
        self.lifted.advance(now, COUNT_TIME_CONSTANT);
        let served = self.lifted.served + ASSUMED_SERVED;
        let ended = self.lifted.ended + ASSUMED_SERVED;
        if served < ended * MIN_SERVED_SHARE {
            PROBE_FACTOR
        } else {
            1.0
        }
    }
}
