use {
    super::{TargetBeat, slot_desk::SlotDesk},
    crate::{net::TargetPool, time::BootClock},
    std::{net::SocketAddr, sync::Arc},
};

/// Connections beyond the slots, for calls that are being cancelled.
const SPARE_CONNECTIONS: u32 = 8;

/// One start of the target beside the sidecar, while it takes calls.
#[derive(Debug)]
pub(crate) struct LiveTarget {
    pub(crate) instance: String,
    pub(crate) desk: Arc<SlotDesk>,
    pub(crate) pool: Arc<TargetPool>,
}

impl LiveTarget {
    pub(crate) fn new(beat: &TargetBeat, address: SocketAddr, clock: BootClock) -> Self {
        Self {
            instance: beat.instance.clone(),
            desk: SlotDesk::new(clock, beat.slots),
            pool: TargetPool::new(address, beat.slots.saturating_add(SPARE_CONNECTIONS)),
        }
    }
}
