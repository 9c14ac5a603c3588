use {crate::context::CallPriority, std::time::Duration};

/// Load of a guard, as reported on responses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GuardLoad {
    /// Lowest priority that is admitted.
    pub threshold: CallPriority,
    /// Running and queued calls in percent of the limit; above 100, calls are queued.
    pub utilization_percent: u8,
    pub in_flight: u32,
    pub limit: u32,
    pub queued: u32,
    /// Time in which the queued calls complete.
    pub queue_delay: Duration,
}
