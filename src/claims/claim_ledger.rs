use {
    super::{
        CallFingerprint, ClaimKey, ClaimLimits, RecordedResponse, UnknownCause, WriteId,
        ledger_entry::{EntryState, LedgerEntry},
    },
    crate::time::TimePoint,
    slotmap::{SlotMap, new_key_type},
    std::{
        collections::{HashMap, VecDeque},
        mem,
    },
};

new_key_type! {
    /// Identifies an entry of a [`ClaimLedger`].
    pub struct EntryKey;
}

/// In-memory state of the keys that were claimed by this daemon.
///
/// A row stays in the claims table for the entire retry window of its key. An entry here may be
/// evicted earlier to bound the memory. A call whose entry was evicted is never run again, since
/// its row is still in the table. `W` is a retry that waits for a call.
#[derive(Debug)]
pub struct ClaimLedger<W> {
    limits: ClaimLimits,
    entries: SlotMap<EntryKey, LedgerEntry<W>>,
    keys: HashMap<ClaimKey, EntryKey>,
    /// Ended entries, oldest first. An entry may occur twice if it was reopened.
    ended_entries: VecDeque<EntryKey>,
    /// Number of calls that are being claimed or run.
    calls_in_progress: usize,
    /// Size of the recorded responses in bytes.
    recorded_bytes: usize,
}

/// Call for which an entry is to be created.
#[derive(Clone, Debug)]
pub struct NewEntry {
    pub key: ClaimKey,
    pub fingerprint: CallFingerprint,
    pub write_id: WriteId,
    /// End of the window in which the call may be retried.
    pub expires: TimePoint,
}

/// Decision of the ledger on a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LedgerDecision {
    /// The key is not known here, or its last attempt was abandoned. It is to be claimed.
    New(EntryKey),
    /// The call is being claimed or run here and may be joined.
    InProgress(EntryKey),
    Replay(RecordedResponse),
    Unknown(UnknownCause),
    Mismatch,
    /// The maximum number of calls is in progress already.
    Full,
}

/// Status of one attempt that was made by this daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptStatus {
    InProgress(EntryKey),
    Completed(RecordedResponse),
    Abandoned,
    Unknown(UnknownCause),
}

impl<W> ClaimLedger<W> {
    #[must_use]
    pub fn new(limits: ClaimLimits) -> Self {
        Self {
            limits,
            entries: SlotMap::with_key(),
            keys: HashMap::new(),
            ended_entries: VecDeque::new(),
            calls_in_progress: 0,
            recorded_bytes: 0,
        }
    }

    /// Looks up a call and registers a new attempt, unless the call is in progress or has run.
    pub fn register(&mut self, new_entry: NewEntry) -> LedgerDecision {
        let Some(&key) = self.keys.get(&new_entry.key) else {
            return self.insert(new_entry);
        };
        let Some(entry) = self.entries.get(key) else {
            return self.insert(new_entry);
        };
        if entry.state == EntryState::Abandoned {
            return self.reopen(key, new_entry);
        }
        if entry.fingerprint != new_entry.fingerprint {
            return LedgerDecision::Mismatch;
        }
        match &entry.state {
            EntryState::Completed(response) => LedgerDecision::Replay(response.clone()),
            EntryState::ResponseNotKept => LedgerDecision::Unknown(UnknownCause::ResponseNotKept),
            EntryState::Failed => LedgerDecision::Unknown(UnknownCause::RunFailed),
            _ => LedgerDecision::InProgress(key),
        }
    }

    /// Adds a retry that waits for a call in progress. At the limit, retries that no longer wait are
    /// removed first.
    ///
    /// # Errors
    /// The call has ended or too many retries wait; returns the waiter.
    pub fn join(
        &mut self,
        key: EntryKey,
        waiter: W,
        is_waiting: impl Fn(&W) -> bool,
    ) -> Result<(), W> {
        let Some(entry) = self
            .entries
            .get_mut(key)
            .filter(|entry| entry.is_in_progress())
        else {
            return Err(waiter);
        };
        let limit = self.limits.waiting_retries;
        if entry.waiters.len() >= limit {
            entry.waiters.retain(is_waiting);
        }
        if entry.waiters.len() >= limit {
            return Err(waiter);
        }
        entry.waiters.push(waiter);
        Ok(())
    }

    /// Records that the claim was committed. Returns false if the attempt was abandoned before.
    pub fn mark_won(&mut self, key: EntryKey) -> bool {
        self.advance(key, &EntryState::Claiming, EntryState::Won)
    }

    /// Records that the call is being dispatched. Returns false if it must not be dispatched.
    pub fn dispatch(&mut self, key: EntryKey) -> bool {
        self.advance(key, &EntryState::Won, EntryState::Running)
    }

    /// Records the complete response of a running call. Returns the retries that wait for it.
    pub fn complete(&mut self, key: EntryKey, response: RecordedResponse) -> Vec<W> {
        if response.size() <= self.limits.response_bytes {
            self.end_run(key, EntryState::Completed(response))
        } else {
            self.end_run(key, EntryState::ResponseNotKept)
        }
    }

    /// Records that a running call gave no complete response. Returns the retries that wait for it.
    pub fn fail(&mut self, key: EntryKey) -> Vec<W> {
        self.end_run(key, EntryState::Failed)
    }

    /// Records that the newest attempt will never be dispatched. Returns the retries that wait.
    ///
    /// The caller guarantees that no part of the call was sent to a target. An attempt that never
    /// reached the table is removed at once.
    pub fn abandon(&mut self, key: EntryKey, may_be_in_table: bool) -> Vec<W> {
        let Some(entry) = self
            .entries
            .get_mut(key)
            .filter(|entry| entry.is_in_progress())
        else {
            return Vec::new();
        };
        entry.abandon(may_be_in_table);
        if entry.abandoned.is_empty() {
            self.remove_in_progress(key)
        } else {
            self.end_call(key)
        }
    }

    /// Status of an attempt that was made by this daemon.
    #[must_use]
    pub fn attempt_status(&self, key: &ClaimKey, write_id: &WriteId) -> AttemptStatus {
        let not_kept = AttemptStatus::Unknown(UnknownCause::ResponseNotKept);
        let Some(&entry_key) = self.keys.get(key) else {
            return not_kept;
        };
        let Some(entry) = self.entries.get(entry_key) else {
            return not_kept;
        };
        if entry.abandoned.contains(write_id) {
            return AttemptStatus::Abandoned;
        }
        if entry.write_id != *write_id {
            return not_kept;
        }
        match &entry.state {
            EntryState::Claiming | EntryState::Won | EntryState::Running => {
                AttemptStatus::InProgress(entry_key)
            }
            EntryState::Completed(response) => AttemptStatus::Completed(response.clone()),
            EntryState::ResponseNotKept => not_kept,
            EntryState::Failed => AttemptStatus::Unknown(UnknownCause::RunFailed),
            EntryState::Abandoned => AttemptStatus::Abandoned,
        }
    }

    /// Removes ended calls whose retry window has passed, oldest first.
    pub fn expire(&mut self, now: TimePoint) {
        while let Some(&key) = self.ended_entries.front() {
            let is_due = self
                .entries
                .get(key)
                .is_none_or(|entry| entry.is_in_progress() || entry.expires <= now);
            if !is_due {
                break;
            }
            self.evict_oldest();
        }
    }

    /// Number of calls that are being claimed or run.
    #[must_use]
    pub fn calls_in_progress(&self) -> usize {
        self.calls_in_progress
    }

    /// Number of known keys, those of calls in progress included.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Size of the recorded responses in bytes.
    #[must_use]
    pub fn recorded_bytes(&self) -> usize {
        self.recorded_bytes
    }

    fn insert(&mut self, new_entry: NewEntry) -> LedgerDecision {
        if self.calls_in_progress >= self.limits.calls_in_progress {
            return LedgerDecision::Full;
        }
        let entry = LedgerEntry {
            key: new_entry.key.clone(),
            fingerprint: new_entry.fingerprint,
            write_id: new_entry.write_id,
            state: EntryState::Claiming,
            waiters: Vec::new(),
            abandoned: Vec::new(),
            expires: new_entry.expires,
        };
        let key = self.entries.insert(entry);
        self.keys.insert(new_entry.key, key);
        self.calls_in_progress += 1;
        LedgerDecision::New(key)
    }

    fn reopen(&mut self, key: EntryKey, new_entry: NewEntry) -> LedgerDecision {
        if self.calls_in_progress >= self.limits.calls_in_progress {
            return LedgerDecision::Full;
        }
        let entry = &mut self.entries[key];
        entry.reopen(new_entry.fingerprint, new_entry.write_id, new_entry.expires);
        self.calls_in_progress += 1;
        LedgerDecision::New(key)
    }

    fn advance(&mut self, key: EntryKey, from: &EntryState, to: EntryState) -> bool {
        match self.entries.get_mut(key) {
            Some(entry) if entry.state == *from => {
                entry.state = to;
                true
            }
            _ => false,
        }
    }

    fn end_run(&mut self, key: EntryKey, state: EntryState) -> Vec<W> {
        if !self.advance(key, &EntryState::Running, state) {
            return Vec::new();
        }
        self.end_call(key)
    }

    fn end_call(&mut self, key: EntryKey) -> Vec<W> {
        let entry = &mut self.entries[key];
        let waiters = mem::take(&mut entry.waiters);
        self.recorded_bytes += entry.response_size();
        self.calls_in_progress -= 1;
        self.ended_entries.push_back(key);
        self.evict();
        waiters
    }

    fn remove_in_progress(&mut self, key: EntryKey) -> Vec<W> {
        self.calls_in_progress -= 1;
        let Some(entry) = self.entries.remove(key) else {
            return Vec::new();
        };
        self.keys.remove(&entry.key);
        entry.waiters
    }

    fn evict(&mut self) {
        let limits = self.limits;
        while self.ended_entries.len() > limits.recorded_calls
            || self.recorded_bytes > limits.recorded_bytes
        {
            if self.ended_entries.is_empty() {
                break;
            }
            self.evict_oldest();
        }
    }

    fn evict_oldest(&mut self) {
        let Some(key) = self.ended_entries.pop_front() else {
            return;
        };
        // An entry in progress was reopened after it had ended. It is queued again when it ends.
        if self
            .entries
            .get(key)
            .is_none_or(LedgerEntry::is_in_progress)
        {
            return;
        }
        if let Some(entry) = self.entries.remove(key) {
            self.recorded_bytes -= entry.response_size();
            self.keys.remove(&entry.key);
        }
    }
}
