use {
    super::{
        DataCentreKey, DataCentreTable, MemberId, MemberRecord, MemberState, MemberStatus,
        MemberSummary, ReplayWindow, TableDigest, member_record::content_revision,
    },
    crate::time::TimePoint,
    slotmap::{SlotMap, new_key_type},
    std::{cmp::Ordering, collections::HashMap, net::SocketAddr, sync::Arc, time::Duration},
};

/// Maximum number of records in a table, dead ones included.
pub const MAX_MEMBERS: usize = 16_384;

new_key_type! {
    /// Key of a member in its table.
    pub struct MemberKey;
}

/// Entry of one member in the table.
#[derive(Clone, Debug)]
pub struct MemberEntry {
    pub record: Arc<MemberRecord>,
    pub data_centre_key: DataCentreKey,
    fingerprint: u64,
    /// When the state last changed in this table.
    pub state_changed_at: TimePoint,
    pub replay_window: ReplayWindow,
}

impl MemberEntry {
    #[must_use]
    pub fn summary(&self) -> MemberSummary {
        MemberSummary {
            id: self.record.id,
            incarnation: self.record.incarnation,
            state: self.record.state,
            fingerprint: self.fingerprint,
        }
    }

    /// Whether `record` belongs to the same process and has the same content; its state may differ.
    #[must_use]
    pub fn has_same_content(&self, record: &MemberRecord) -> bool {
        let own = &self.record;
        own.id == record.id
            && content_revision(own.incarnation) == content_revision(record.incarnation)
    }

    #[must_use]
    pub fn is_dead(&self) -> bool {
        self.record.state == MemberState::Dead
    }
}

/// Result of a merge.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The table already contains the same or a newer record, or lacks the record of a status.
    Unchanged,
    Added(MemberKey),
    Changed {
        key: MemberKey,
        previous: MemberState,
    },
    /// The table is full, or a field of the record exceeds its limit.
    Rejected,
}

impl MergeOutcome {
    /// Key of the member that the merge added or changed.
    #[must_use]
    pub const fn changed_key(self) -> Option<MemberKey> {
        match self {
            Self::Added(key) | Self::Changed { key, .. } => Some(key),
            Self::Unchanged | Self::Rejected => None,
        }
    }
}

/// All members by address, each with its newest record.
///
/// Records of one address are totally ordered by start time of the process, incarnation, state and
/// fingerprint. A merge keeps the highest, so the order of merges does not matter.
#[derive(Clone, Debug, Default)]
pub struct MemberTable {
    entries: SlotMap<MemberKey, MemberEntry>,
    keys: HashMap<SocketAddr, MemberKey>,
    digest: TableDigest,
    data_centres: DataCentreTable,
}

impl MemberTable {
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    #[must_use]
    pub fn get(&self, key: MemberKey) -> Option<&MemberEntry> {
        self.entries.get(key)
    }

    pub fn get_mut(&mut self, key: MemberKey) -> Option<&mut MemberEntry> {
        self.entries.get_mut(key)
    }

    #[must_use]
    pub fn find(&self, address: SocketAddr) -> Option<MemberKey> {
        self.keys.get(&address).copied()
    }

    /// Entry of a process; `None` if the table contains another process on its address.
    #[must_use]
    pub fn find_process(&self, id: MemberId) -> Option<&MemberEntry> {
        let entry = self.get(self.find(id.address)?)?;
        (entry.record.id == id).then_some(entry)
    }

    pub fn iter(&self) -> impl Iterator<Item = (MemberKey, &MemberEntry)> {
        self.entries.iter()
    }

    /// Data centres of current and former members.
    #[must_use]
    pub const fn data_centres(&self) -> &DataCentreTable {
        &self.data_centres
    }

    /// Records that a datagram arrived from a member.
    pub fn record_datagram(&mut self, key: MemberKey, now: TimePoint) {
        if let Some(entry) = self.entries.get(key) {
            self.data_centres
                .record_datagram(entry.data_centre_key, now);
        }
    }

    #[must_use]
    pub const fn digest(&self) -> &TableDigest {
        &self.digest
    }

    /// Entries in the digest buckets whose bits are set in `buckets`.
    pub fn in_buckets(&self, buckets: u64) -> impl Iterator<Item = &MemberEntry> {
        self.entries.values().filter(move |entry| {
            let bucket = TableDigest::bucket_of(entry.record.id.address);
            buckets >> bucket & 1 == 1
        })
    }

    /// Stores `record` if it is newer than the stored record of its address.
    pub fn merge_record(&mut self, record: &MemberRecord, now: TimePoint) -> MergeOutcome {
        if !record.is_within_bounds() {
            return MergeOutcome::Rejected;
        }
        match self.find(record.id.address) {
            Some(key) => self.replace(key, record, now),
            None if self.entries.len() >= MAX_MEMBERS => MergeOutcome::Rejected,
            None => self.add(record, now),
        }
    }

    /// Applies a status if the table contains a record of the same process and content.
    pub fn merge_status(&mut self, status: &MemberStatus, now: TimePoint) -> MergeOutcome {
        let Some(key) = self.find(status.id.address) else {
            return MergeOutcome::Unchanged;
        };
        let record = &self.entries[key].record;
        let is_same_content = record.id == status.id
            && content_revision(record.incarnation) == content_revision(status.incarnation);
        let is_newer = (status.incarnation, status.state) > (record.incarnation, record.state);
        if !is_same_content || !is_newer {
            return MergeOutcome::Unchanged;
        }
        let record = MemberRecord {
            incarnation: status.incarnation,
            state: status.state,
            ..MemberRecord::clone(record)
        };
        self.overwrite(key, record, now)
    }

    /// Raises the policy version of a member; returns whether it changed.
    pub fn raise_policy_version(&mut self, key: MemberKey, version: u64) -> bool {
        let Some(entry) = self.entries.get_mut(key) else {
            return false;
        };
        if entry.record.policy_version >= version {
            return false;
        }
        Arc::make_mut(&mut entry.record).policy_version = version;
        true
    }

    /// Removes members that have been dead for `retention`; returns their number.
    pub fn purge_dead(&mut self, now: TimePoint, retention: Duration) -> usize {
        let before = self.entries.len();
        let keys = &mut self.keys;
        self.entries.retain(|_, entry| {
            let is_kept = !entry.is_dead() || now.since(entry.state_changed_at) < retention;
            if !is_kept {
                keys.remove(&entry.record.id.address);
            }
            is_kept
        });
        before - self.entries.len()
    }

    fn add(&mut self, record: &MemberRecord, now: TimePoint) -> MergeOutcome {
        let mut record = record.clone();
        let Some(data_centre_key) = self.data_centres.intern(&mut record, now) else {
            return MergeOutcome::Rejected;
        };
        let entry = MemberEntry {
            data_centre_key,
            fingerprint: record.fingerprint(),
            record: Arc::new(record),
            state_changed_at: now,
            replay_window: ReplayWindow::default(),
        };
        if !entry.is_dead() {
            self.digest.add(entry.record.id.address, entry.fingerprint);
        }
        let address = entry.record.id.address;
        let key = self.entries.insert(entry);
        self.keys.insert(address, key);
        MergeOutcome::Added(key)
    }

    fn replace(&mut self, key: MemberKey, record: &MemberRecord, now: TimePoint) -> MergeOutcome {
        if self.compare_with_entry(key, record) != Ordering::Greater {
            if self.entries[key].record.id == record.id {
                self.raise_policy_version(key, record.policy_version);
            }
            return MergeOutcome::Unchanged;
        }
        self.overwrite(key, record.clone(), now)
    }

    /// Compares `record` with the stored record.
    fn compare_with_entry(&self, key: MemberKey, record: &MemberRecord) -> Ordering {
        let entry = &self.entries[key];
        let known = &entry.record;
        let rank = |record: &MemberRecord| (record.id.started_ms, record.incarnation, record.state);
        rank(record)
            .cmp(&rank(known))
            .then_with(|| record.fingerprint().cmp(&entry.fingerprint))
    }

    fn overwrite(
        &mut self,
        key: MemberKey,
        mut record: MemberRecord,
        now: TimePoint,
    ) -> MergeOutcome {
        let Some(data_centre_key) = self.data_centres.intern(&mut record, now) else {
            return MergeOutcome::Rejected;
        };
        let entry = &mut self.entries[key];
        let previous = entry.record.state;
        let address = record.id.address;
        if !entry.is_dead() {
            self.digest.remove(address, entry.fingerprint);
        }
        if entry.record.id == record.id {
            record.policy_version = record.policy_version.max(entry.record.policy_version);
        } else {
            entry.replay_window = ReplayWindow::default();
        }
        if previous != record.state {
            entry.state_changed_at = now;
        }
        entry.data_centre_key = data_centre_key;
        entry.fingerprint = record.fingerprint();
        entry.record = Arc::new(record);
        if !entry.is_dead() {
            self.digest.add(address, entry.fingerprint);
        }
        MergeOutcome::Changed { key, previous }
    }
}
