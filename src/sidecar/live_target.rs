use {
    super::{
        TargetHeartbeat, slot_semaphore::SlotSemaphore, target_incarnation::TargetIncarnation,
    },
    crate::{
        crash::TargetRuns,
        net::TargetPool,
        time::{BootClock, TimePoint},
    },
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
    },
    tokio::sync::Mutex as AsyncMutex,
};

/// Connections beyond the number of slots, for calls that are being cancelled.
const SPARE_CONNECTIONS: u32 = 8;

/// The current process of the local target, while it accepts calls.
#[derive(Debug)]
pub(crate) struct LiveTarget {
    pub(crate) incarnation: TargetIncarnation,
    pub(crate) semaphore: Arc<SlotSemaphore>,
    pub(crate) pool: Arc<TargetPool>,
    runs: Mutex<TargetRuns>,
    /// Time of the last check whether the process accepts connections; one runs at a time.
    pub(super) probe: AsyncMutex<Option<TimePoint>>,
}

impl LiveTarget {
    pub(crate) fn new(heartbeat: &TargetHeartbeat, address: SocketAddr, clock: BootClock) -> Self {
        Self {
            incarnation: heartbeat.incarnation(),
            semaphore: SlotSemaphore::new(clock, heartbeat.slots),
            pool: TargetPool::new(address, heartbeat.slots.saturating_add(SPARE_CONNECTIONS)),
            runs: Mutex::default(),
            probe: AsyncMutex::default(),
        }
    }

    pub(crate) fn runs(&self) -> MutexGuard<'_, TargetRuns> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
