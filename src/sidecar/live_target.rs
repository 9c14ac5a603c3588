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
    pub(crate) desk: Arc<SlotSemaphore>,
    pub(crate) pool: Arc<TargetPool>,
}

impl LiveTarget {
    pub(crate) fn new(beat: &TargetHeartbeat, address: SocketAddr, clock: BootClock) -> Self {
        Self {
            instance: beat.instance.clone(),
            desk: SlotSemaphore::new(clock, beat.slots),
            pool: TargetPool::new(address, beat.slots.saturating_add(SPARE_CONNECTIONS)),
        }
    }
}
