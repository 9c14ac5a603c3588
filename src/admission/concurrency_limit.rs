use {
    super::{CompletionKind, LoadReport},
    crate::time::TimePoint,
    std::time::Duration,
};

/// One call that has left the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceSample {
    pub started: TimePoint,
    pub finished: TimePoint,
    /// Rank of the class; classes differ in their service time.
    pub rank: u8,
    pub kind: CompletionKind,
}

impl ServiceSample {
    /// Time in the target.
    #[must_use]
    pub fn latency(&self) -> Duration {
        self.finished.since(self.started)
    }
}

/// How much of a limit is in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitUse {
    pub in_flight: u32,
    pub queued: u32,
}

/// Says how many calls a target runs at once.
pub trait ConcurrencyLimit {
    /// `slots` is what the target announced.
    fn new(now: TimePoint, slots: u32) -> Self;

    /// Calls at once, from 1 to the announced slots.
    fn limit(&self) -> u32;

    /// Whether the limit still grows from its start, so that a queue says little of the target.
    fn is_ramping(&self) -> bool {
        false
    }

    fn set_slots(&mut self, now: TimePoint, slots: u32);

    fn observe(&mut self, sample: &ServiceSample);

    fn report_load(&mut self, now: TimePoint, report: LoadReport);

    fn tick(&mut self, now: TimePoint, usage: LimitUse);
}
