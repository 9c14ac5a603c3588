use {
    super::{
        CoreEffect, DisseminationQueue, MAX_EXCHANGE_RECORDS, MemberId, MemberKey, MemberRecord,
        MemberState, MemberStatus, MemberTable, MemberUpdate, MemberView, MergeOutcome, PeerIndex,
        SuspicionRule, TargetAnnouncement, dissemination_queue::UpdateSource,
        member_record::next_content_revision,
    },
    crate::time::TimePoint,
    std::{collections::VecDeque, time::Duration},
};

/// Maximum number of new records from one exchange that are disseminated as updates; if there are
/// more, all of them reach other members by exchanges only.
pub const MAX_EXCHANGE_UPDATES: usize = 64;

/// Maximum number of times that a process advances its start time beyond that of its clock.
const MAX_START_TIME_ADVANCES: u32 = 8;

/// The member table of this process, with the indexes, queues and suspect list that depend on it.
#[derive(Clone, Debug)]
pub struct MemberRegistry {
    own_record: MemberRecord,
    table: MemberTable,
    peers: PeerIndex,
    queue: DisseminationQueue,
    suspects: Vec<MemberKey>,
    changes: VecDeque<CoreEffect>,
    suspicions: u64,
    refutations: u64,
    start_time_advances: u32,
    is_index_stale: bool,
    is_view_stale: bool,
}

impl MemberRegistry {
    #[must_use]
    pub fn new(own_record: MemberRecord, now: TimePoint) -> Self {
        let mut table = MemberTable::new();
        table.merge_record(&own_record, now);
        Self {
            own_record,
            table,
            peers: PeerIndex::default(),
            queue: DisseminationQueue::new(),
            suspects: Vec::new(),
            changes: VecDeque::new(),
            suspicions: 0,
            refutations: 0,
            start_time_advances: 0,
            is_index_stale: true,
            is_view_stale: true,
        }
    }

    #[must_use]
    pub const fn own_record(&self) -> &MemberRecord {
        &self.own_record
    }

    #[must_use]
    pub const fn table(&self) -> &MemberTable {
        &self.table
    }

    pub const fn table_mut(&mut self) -> &mut MemberTable {
        &mut self.table
    }

    #[must_use]
    pub const fn queue(&self) -> &DisseminationQueue {
        &self.queue
    }

    pub const fn queue_mut(&mut self) -> &mut DisseminationQueue {
        &mut self.queue
    }

    /// The other members as of the last call of [`Self::refresh_peers`].
    #[must_use]
    pub const fn peers(&self) -> &PeerIndex {
        &self.peers
    }

    #[must_use]
    pub const fn suspicions(&self) -> u64 {
        self.suspicions
    }

    #[must_use]
    pub const fn refutations(&self) -> u64 {
        self.refutations
    }

    pub fn next_change(&mut self) -> Option<CoreEffect> {
        self.changes.pop_front()
    }

    pub fn refresh_peers(&mut self) {
        if self.is_index_stale {
            self.is_index_stale = false;
            self.peers.rebuild(&self.table, &self.own_record);
        }
    }

    /// Returns the current members if they changed since the last call.
    pub fn take_view(&mut self) -> Option<MemberView> {
        if !self.is_view_stale {
            return None;
        }
        self.is_view_stale = false;
        let records = self.table.iter().map(|(_, entry)| entry.record.clone());
        Some(MemberView::new(records))
    }

    /// Sets or removes the announcement of the local target.
    pub fn set_target(&mut self, target: Option<TargetAnnouncement>, now: TimePoint) {
        if self.own_record.target != target {
            self.own_record.target = target;
            self.own_record.incarnation = next_content_revision(self.own_record.incarnation);
            self.publish_own_record(now);
        }
    }

    pub fn set_leaving(&mut self, now: TimePoint) {
        if self.own_record.state != MemberState::Leaving {
            self.own_record.state = MemberState::Leaving;
            self.own_record.incarnation = next_content_revision(self.own_record.incarnation);
            self.publish_own_record(now);
        }
    }

    /// Records that a datagram arrived from a member, and the policy version in force there.
    pub fn record_datagram(&mut self, key: MemberKey, policy_version: u64, now: TimePoint) {
        self.table.record_datagram(key, now);
        self.raise_policy_version(key, policy_version);
    }

    fn raise_policy_version(&mut self, key: MemberKey, version: u64) {
        if self.table.raise_policy_version(key, version) {
            self.is_view_stale = true;
        }
    }

    /// Records the policy version in force in this process.
    pub fn set_own_policy_version(&mut self, version: u64) {
        self.own_record.policy_version = self.own_record.policy_version.max(version);
        if let Some(key) = self.table.find(self.own_record.id.address) {
            self.raise_policy_version(key, version);
        }
    }

    /// Applies one update and disseminates it if it was new.
    pub fn apply_update(&mut self, update: &MemberUpdate, now: TimePoint) -> bool {
        let new_update = self.merge_update(update, now);
        match &new_update {
            Some(update) => self.queue.push(update, UpdateSource::Other),
            None => self.queue.suppress_known(update.status()),
        }
        new_update.is_some()
    }

    /// Merges the records of an exchange; returns how many were new.
    pub fn merge_records(&mut self, records: Vec<MemberRecord>, now: TimePoint) -> usize {
        let mut new_updates = Vec::new();
        for record in records.into_iter().take(MAX_EXCHANGE_RECORDS) {
            let is_dead = record.state == MemberState::Dead;
            if is_dead && self.table.find(record.id.address).is_none() {
                continue;
            }
            let update = MemberUpdate::Record(Box::new(record));
            new_updates.extend(self.merge_update(&update, now));
        }
        if new_updates.len() <= MAX_EXCHANGE_UPDATES {
            for update in &new_updates {
                self.queue.push(update, UpdateSource::Other);
            }
        }
        new_updates.len()
    }

    /// Marks an alive member as suspect, or a leaving one as dead, after a probe failed.
    pub fn handle_probe_failure(&mut self, key: MemberKey, now: TimePoint) {
        let Some(entry) = self.table.get(key) else {
            return;
        };
        let state = match entry.record.state {
            MemberState::Alive => MemberState::Suspect,
            MemberState::Leaving => MemberState::Dead,
            MemberState::Suspect | MemberState::Dead => return,
        };
        self.suspicions += 1;
        let status = MemberStatus {
            state,
            ..entry.record.status()
        };
        self.apply_update(&MemberUpdate::Status(status), now);
    }

    /// Declares suspects dead that did not refute their suspicion in time, unless their data centre
    /// may be partitioned.
    pub fn expire_suspects(&mut self, now: TimePoint) {
        let rule = SuspicionRule::new(self.peers.live_count());
        let mut expired = Vec::new();
        let table = &self.table;
        self.suspects.retain(|&key| {
            let Some(entry) = table.get(key) else {
                return false;
            };
            if rule.is_expired(entry, now) {
                expired.push(key);
            }
            entry.record.state == MemberState::Suspect
        });
        if !expired.is_empty() {
            let partition_check = rule.partition_check(&self.table, &self.own_record);
            expired.retain(|&key| {
                let entry = self.table.get(key);
                entry.is_some_and(|entry| !partition_check.keeps_suspect(entry, now))
            });
        }
        for key in expired {
            self.declare_dead(key, now);
        }
    }

    /// Extends the timeouts of suspects by the length of a pause of this process.
    pub fn extend_suspicions(&mut self, pause: Duration) {
        for &key in &self.suspects {
            if let Some(entry) = self.table.get_mut(key) {
                entry.state_changed_at = entry.state_changed_at + pause;
            }
        }
    }

    /// Removes members that have been dead for `retention`.
    pub fn purge_dead(&mut self, now: TimePoint, retention: Duration) {
        let dropped = self.table.purge_dead(now, retention);
        self.is_index_stale |= dropped > 0;
    }

    /// Refutes a report that a process with a later start time runs on the address of this process.
    pub fn refute_start_time(&mut self, started_ms: u64, now: TimePoint) {
        let status = MemberStatus {
            id: MemberId {
                started_ms,
                ..self.own_record.id
            },
            ..self.own_record.status()
        };
        self.refute(&MemberUpdate::Status(status), now);
    }

    fn declare_dead(&mut self, key: MemberKey, now: TimePoint) {
        let Some(entry) = self.table.get(key) else {
            return;
        };
        let status = MemberStatus {
            state: MemberState::Dead,
            ..entry.record.status()
        };
        self.apply_update(&MemberUpdate::Status(status), now);
    }

    /// Merges an update; returns the update to disseminate if it was new. An update about this
    /// process is refuted if it is wrong.
    fn merge_update(&mut self, update: &MemberUpdate, now: TimePoint) -> Option<MemberUpdate> {
        if update.id().address == self.own_record.id.address {
            self.refute(update, now);
            return None;
        }
        let forwarded = self.reduce_to_status(update);
        let outcome = match update {
            MemberUpdate::Record(record) => self.table.merge_record(record, now),
            MemberUpdate::Status(status) => self.table.merge_status(status, now),
        };
        self.handle_merge(outcome).then_some(forwarded)
    }

    /// Reduces a record to its status if the table already contains its content.
    fn reduce_to_status(&self, update: &MemberUpdate) -> MemberUpdate {
        let MemberUpdate::Record(record) = update else {
            return update.clone();
        };
        let known = self.table.find_process(record.id);
        let is_same = known.is_some_and(|known| known.has_same_content(record));
        if is_same {
            MemberUpdate::Status(record.status())
        } else {
            update.clone()
        }
    }

    fn handle_merge(&mut self, outcome: MergeOutcome) -> bool {
        let Some(key) = outcome.changed_key() else {
            return false;
        };
        let Some(entry) = self.table.get(key) else {
            return false;
        };
        let previous = match outcome {
            MergeOutcome::Changed { previous, .. } => Some(previous),
            _ => None,
        };
        let record = entry.record.clone();
        self.is_index_stale = true;
        self.is_view_stale = true;
        if record.state == MemberState::Suspect && !self.suspects.contains(&key) {
            self.suspects.push(key);
        }
        if previous != Some(record.state) {
            let change = CoreEffect::MemberChanged { record, previous };
            self.changes.push_back(change);
        }
        true
    }

    /// Refutes an update about this process if it contradicts the record of this process.
    fn refute(&mut self, update: &MemberUpdate, now: TimePoint) {
        let reported = match update {
            MemberUpdate::Record(record) => record.status(),
            MemberUpdate::Status(status) => *status,
        };
        let own = self.own_record.status();
        if reported.id.started_ms > own.id.started_ms {
            self.advance_start_time(reported.id.started_ms, now);
        } else if reported.id == own.id && reported.incarnation > own.incarnation {
            // This process never sent that incarnation, so the content may differ as well.
            self.own_record.incarnation = next_content_revision(reported.incarnation);
            self.refutations += 1;
            self.publish_own_record(now);
        } else if reported.id == own.id
            && reported.incarnation == own.incarnation
            && reported.state > own.state
        {
            self.own_record.incarnation += 1;
            self.refutations += 1;
            self.table.merge_record(&self.own_record, now);
            let status = self.own_record.status();
            let update = MemberUpdate::Status(status);
            self.queue.push(&update, UpdateSource::Own);
            self.is_view_stale = true;
        }
    }

    /// Advances the start time beyond `known_ms`, which is later if the wall clock stepped back
    /// between two processes on this address.
    fn advance_start_time(&mut self, known_ms: u64, now: TimePoint) {
        if self.start_time_advances < MAX_START_TIME_ADVANCES {
            self.start_time_advances += 1;
            self.own_record.id.started_ms = known_ms.saturating_add(1);
            self.refutations += 1;
            self.publish_own_record(now);
        }
    }

    fn publish_own_record(&mut self, now: TimePoint) {
        let own = self.own_record.clone();
        self.table.merge_record(&own, now);
        let update = MemberUpdate::Record(Box::new(own));
        self.queue.push(&update, UpdateSource::Own);
        self.is_view_stale = true;
    }
}
