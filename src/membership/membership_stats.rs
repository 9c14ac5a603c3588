use super::{GossipCounters, MemberState, MembershipCore};

/// Counters and member counts of one process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MembershipStats {
    pub counters: GossipCounters,
    pub alive: usize,
    pub suspect: usize,
    pub leaving: usize,
    /// Dead members that are still in the table.
    pub dead: usize,
    /// Updates in the dissemination queue.
    pub queued: usize,
}

impl MembershipStats {
    #[must_use]
    pub fn collect(core: &MembershipCore, counters: GossipCounters) -> Self {
        let registry = core.registry();
        let mut stats = Self {
            counters,
            queued: registry.queue().len(),
            ..Self::default()
        };
        for (_, entry) in registry.table().iter() {
            let count = match entry.record.state {
                MemberState::Alive => &mut stats.alive,
                MemberState::Suspect => &mut stats.suspect,
                MemberState::Leaving => &mut stats.leaving,
                MemberState::Dead => &mut stats.dead,
            };
            *count += 1;
        }
        stats
    }
}
