use {
    crate::policy::OverloadPolicy,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Capacity of the queue per slot, in calls.
const QUEUED_CALLS_PER_SLOT: u32 = 4;
const MIN_QUEUE_CAPACITY: u32 = 16;
const MAX_QUEUE_CAPACITY: u32 = 1_024;

/// Settings of one guard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GuardSettings {
    /// Announced concurrency of the target.
    pub slots: u32,
    /// Maximum number of queued calls.
    pub queue_capacity: u32,
    /// Queue delay above which the target counts as overloaded if the delay persists; slow targets
    /// use a longer one.
    pub queue_target: Duration,
    /// Minimum time for which the delay must persist.
    pub queue_interval: Duration,
    pub threshold: ThresholdMode,
    pub sojourn: SojournMode,
}

impl GuardSettings {
    #[must_use]
    pub fn new(slots: u32, policy: &OverloadPolicy) -> Self {
        Self {
            slots,
            queue_capacity: Self::queue_capacity_of(slots),
            queue_target: Duration::from_millis(policy.queue_target_ms),
            queue_interval: Duration::from_millis(policy.queue_interval_ms),
            threshold: ThresholdMode::Adaptive,
            sojourn: SojournMode::Controlled,
        }
    }

    /// Maximum number of queued calls of a target with `slots` slots.
    #[must_use]
    pub fn queue_capacity_of(slots: u32) -> u32 {
        let capacity = slots.saturating_mul(QUEUED_CALLS_PER_SLOT);
        capacity.clamp(MIN_QUEUE_CAPACITY, MAX_QUEUE_CAPACITY)
    }
}

/// Whether overload raises the admission threshold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ThresholdMode {
    Adaptive,
    /// Every priority is admitted.
    AdmitAll,
}

/// Whether calls are dropped from a standing queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SojournMode {
    Controlled,
    /// Only its capacity and the deadlines bound the queue.
    Unbounded,
}

/// Whether a guard accepts new calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DrainState {
    Serving,
    /// New calls are refused; queued and running ones continue.
    Draining,
}
