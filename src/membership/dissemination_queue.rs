use super::{
    MAX_UPDATES_PER_DATAGRAM, MemberStatus, MemberUpdate, PacketCodec, packet_codec::encode_update,
    update_dissemination::MAX_FULL_FANOUT_RECORDS,
};

/// Maximum number of queued updates; a full queue drops its last update in sending order.
pub const MAX_QUEUED_UPDATES: usize = 4_096;

/// Transmissions in addition to the binary logarithm of the number of members; each divides the
/// expected number of members that miss an update by about e.
const RETRANSMIT_MARGIN: u32 = 10;
/// Number of transmissions by which a status has fewer than a record: many statuses are queued at
/// once, and a member that misses one detects the failure with its own probes.
const STATUS_TRANSMISSION_DISCOUNT: u32 = 6;

/// Number of times that a member transmits one update in a deployment of `members`.
#[must_use]
pub fn retransmit_limit(members: usize) -> u32 {
    RETRANSMIT_MARGIN + members.max(1).ilog2()
}

/// Maximum bytes of updates in one datagram. The first update is exempt from it if it fits the
/// datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpdateBudget {
    pub bytes: usize,
    /// Part of `bytes` that statuses may use.
    pub status_bytes: usize,
}

impl UpdateBudget {
    fn try_consume(&mut self, update: &QueuedUpdate) -> bool {
        let length = update.bytes.len();
        let fits = length <= self.bytes && (update.is_record || length <= self.status_bytes);
        if fits {
            self.bytes -= length;
            self.status_bytes -= if update.is_record { 0 } else { length };
        }
        fits
    }
}

/// Origin of an update; changes of the record of this process are sent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum UpdateSource {
    Own,
    Other,
}

#[derive(Clone, Debug)]
struct QueuedUpdate {
    status: MemberStatus,
    source: UpdateSource,
    is_record: bool,
    bytes: Box<[u8]>,
    transmissions: u32,
}

impl QueuedUpdate {
    const fn sort_key(&self) -> (UpdateSource, u32) {
        (self.source, self.transmissions)
    }
}

/// Updates to disseminate, one for each address, in sending order: first that of the record of this
/// process, then those with the fewest transmissions.
#[derive(Clone, Debug, Default)]
pub struct DisseminationQueue {
    updates: Vec<QueuedUpdate>,
    record_count: usize,
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

    /// Number of queued updates that are records rather than statuses.
    #[must_use]
    pub const fn record_count(&self) -> usize {
        self.record_count
    }

    /// Whether a change of the record of this process is still queued.
    #[must_use]
    pub fn has_own_update(&self) -> bool {
        let first = self.updates.first();
        first.is_some_and(|update| update.source == UpdateSource::Own)
    }

    /// Queues an update and removes any earlier one for the same address.
    pub fn push(&mut self, update: &MemberUpdate, source: UpdateSource) {
        let status = update.status();
        self.updates
            .retain(|queued| queued.status.id.address != status.id.address);
        if self.updates.len() >= MAX_QUEUED_UPDATES {
            self.updates.pop();
        }
        let is_record = matches!(update, MemberUpdate::Record(_));
        let transmissions = if is_record {
            0
        } else {
            STATUS_TRANSMISSION_DISCOUNT
        };
        let queued = QueuedUpdate {
            status,
            source,
            is_record,
            bytes: encode_update(update).into(),
            transmissions,
        };
        let sort_key = queued.sort_key();
        let position = self
            .updates
            .partition_point(|update| update.sort_key() < sort_key);
        self.updates.insert(position, queued);
        self.update_record_count();
    }

    /// Drops a queued record that another member also sent, if many records are queued; members
    /// that miss it receive it in exchanges.
    pub fn suppress_known(&mut self, status: MemberStatus) {
        if self.record_count <= MAX_FULL_FANOUT_RECORDS {
            return;
        }
        self.updates.retain(|queued| {
            let is_known = queued.is_record && queued.status == status;
            queued.source == UpdateSource::Own || !is_known
        });
        self.update_record_count();
    }

    /// Appends the updates that fit, in sending order, and counts one transmission for each;
    /// removes updates with `limit` transmissions.
    pub fn fill_datagram(&mut self, buffer: &mut Vec<u8>, mut budget: UpdateBudget, limit: u32) {
        let mut remaining = PacketCodec::remaining_bytes(buffer);
        let mut count = 0;
        for update in &mut self.updates {
            if count == MAX_UPDATES_PER_DATAGRAM - 1 {
                break;
            }
            let is_first = count == 0;
            if update.bytes.len() > remaining || !(budget.try_consume(update) || is_first) {
                continue;
            }
            buffer.extend_from_slice(&update.bytes);
            remaining -= update.bytes.len();
            update.transmissions += 1;
            count += 1;
        }
        self.updates.retain(|update| update.transmissions < limit);
        self.updates.sort_by_key(QueuedUpdate::sort_key);
        self.update_record_count();
    }

    fn update_record_count(&mut self) {
        let updates = self.updates.iter();
        self.record_count = updates.filter(|update| update.is_record).count();
    }
}
