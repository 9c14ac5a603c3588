use {crate::time::TimePoint, std::time::Duration};

/// Difference between the clocks of the store and of the VM that is tolerated.
const MAX_DRIFT: Duration = Duration::from_millis(250);

/// Recognizes answers of the store that are older than the question.
///
/// Each answer names the time of the store's clock. Between two answers, that clock must have
/// advanced at least by the time from the receipt of the first to the sending of the second
/// question.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreClock {
    last: Option<(Duration, TimePoint)>,
}

impl StoreClock {
    /// Records the store's time in an answer; whether the answer is from after `asked_at`.
    pub fn record(
        &mut self,
        store_time: Duration,
        asked_at: TimePoint,
        received_at: TimePoint,
    ) -> bool {
        let is_current = self.last.is_none_or(|(last_time, last_received_at)| {
            store_time + MAX_DRIFT >= last_time + last_received_at.until(asked_at)
        });
        self.last = Some((store_time, received_at));
        is_current
    }
}
