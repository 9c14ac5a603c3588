use {
    super::{TargetHeartbeat, slot_semaphore::SlotSemaphore},
    crate::{net::TargetPool, time::BootClock},
    std::{net::SocketAddr, sync::Arc},
};

/// Connections beyond the slots, for calls that are being cancelled.
const SPARE_CONNECTIONS: u32 = 8;

/// One start of the target beside the sidecar, while it takes calls.
#[derive(Debug)]
pub(crate) struct LiveTarget {
    pub(crate) instance: String,
    pub(crate) semaphore: Arc<SlotSemaphore>,
    pub(crate) pool: Arc<TargetPool>,
}

impl LiveTarget {
    pub(crate) fn new(heartbeat: &TargetHeartbeat, address: SocketAddr, clock: BootClock) -> Self {
        Self {
            instance: heartbeat.instance.clone(),
            semaphore: SlotSemaphore::new(clock, heartbeat.slots),
            pool: TargetPool::new(address, heartbeat.slots.saturating_add(SPARE_CONNECTIONS)),
        }
    }
}
