use {crate::context::CallPriority, std::time::Duration};

/// Load of a guard, as it travels back on answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GuardLoad {
    /// Lowest priority that is admitted.
    pub threshold: CallPriority,
    /// Running and queued calls against the limit; above 100 calls wait.
    pub utilization_percent: u8,
    pub in_flight: u32,
    pub limit: u32,
    pub queued: u32,
    /// Time to work off the queue.
    pub queue_delay: Duration,
}
