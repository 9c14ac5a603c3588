use {
    super::{MAX_UPDATES, MemberId, MemberUpdate, packet_codec::encode_update},
    std::net::SocketAddr,
};

/// Updates that wait at most; past it the one sent most often goes.
pub const MAX_QUEUED_UPDATES: usize = 4_096;

/// Transmissions on top of those that the size asks for; each divides the misses by about e.
const RETRANSMIT_MARGIN: u32 = 10;

/// Times that a member hands on one update in a deployment of `members`.
#[must_use]
pub fn retransmit_limit(members: usize) -> u32 {
    RETRANSMIT_MARGIN + members.max(1).ilog2()
}

#[derive(Clone, Debug)]
struct QueuedUpdate {
    id: MemberId,
    bytes: Box<[u8]>,
    transmissions: u32,
}

/// Updates to hand on, one for each address; the least sent goes first.
#[derive(Clone, Debug, Default)]
pub struct DisseminationQueue {
    updates: Vec<QueuedUpdate>,
}

impl DisseminationQueue {
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.updates.is_empty()
    }

    #[must_use]
    pub fn len(&self) -> usize {
        self.updates.len()
    }

    /// Whether an update of `address` still waits.
    #[must_use]
    pub fn holds(&self, address: SocketAddr) -> bool {
        self.updates
            .iter()
            .any(|update| update.id.address == address)
    }

    /// Queues an update in place of any other of its address.
    pub fn push(&mut self, update: &MemberUpdate) {
        let id = update.id();
        self.updates
            .retain(|queued| queued.id.address != id.address);
        if self.updates.len() >= MAX_QUEUED_UPDATES {
            self.updates.pop();
        }
        let queued = QueuedUpdate {
            id,
            bytes: encode_update(update).into(),
            transmissions: 0,
        };
        self.updates.insert(0, queued);
    }

    /// Appends what fits into `room` bytes; each appended update counts one transmission.
    pub fn fill(&mut self, buffer: &mut Vec<u8>, mut room: usize, limit: u32) {
        let mut count = 0;
        for update in &mut self.updates {
            if count == MAX_UPDATES - 1 {
                break;
            }
            if update.bytes.len() > room {
                continue;
            }
            buffer.extend_from_slice(&update.bytes);
            room -= update.bytes.len();
            update.transmissions += 1;
            count += 1;
        }
        self.updates.retain(|update| update.transmissions < limit);
        self.updates.sort_by_key(|update| update.transmissions);
    }
}
