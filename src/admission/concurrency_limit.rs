use {
    super::{CompletionKind, LoadReport},
    crate::time::TimePoint,
    std::time::Duration,
};

/// One call that has completed at the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceSample {
    pub started_at: TimePoint,
    pub finished_at: TimePoint,
    /// Class rank, since classes differ in their service time.
    pub rank: u8,
    pub kind: CompletionKind,
}

impl ServiceSample {
    /// Time that the call spent in the target.
    #[must_use]
    pub fn latency(&self) -> Duration {
        self.finished_at.since(self.started_at)
    }
}

/// Current use of a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitUsage {
    pub in_flight: u32,
    pub queued: u32,
}

/// Bounds the calls that a target runs at the same time.
pub trait ConcurrencyLimit {
    /// `slots` is the concurrency that the target announced.
    fn new(now: TimePoint, slots: u32) -> Self;

    /// Maximum number of concurrent calls, from 1 to the announced slots.
    fn limit(&self) -> u32;

    /// Whether the limit still grows from its initial value; a queue then does not mean that the
    /// target is overloaded.
    fn is_ramping(&self) -> bool {
        false
    }

    fn set_slots(&mut self, now: TimePoint, slots: u32);

    /// Records a completed call.
    fn observe(&mut self, sample: &ServiceSample);

    fn report_load(&mut self, now: TimePoint, report: LoadReport);

    /// Updates the limit; called periodically.
    fn tick(&mut self, now: TimePoint, usage: LimitUsage);
}
