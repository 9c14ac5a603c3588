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
    /// One key in the ledger.
    pub struct EntryKey;
}

/// What this daemon knows of the keys that were claimed here.
///
/// A key is in the table of claims for as long as its window; here it is forgotten sooner when
/// memory is short. A forgotten key is never run again, since its row still stands.
/// `W` are the repeats that wait for a call.
#[derive(Debug)]
pub struct ClaimLedger<W> {
    limits: ClaimLimits,
    entries: SlotMap<EntryKey, LedgerEntry<W>>,
    keys: HashMap<ClaimKey, EntryKey>,
    /// Entries in the order in which they ended; one may occur again after it was reopened.
    ended_entries: VecDeque<EntryKey>,
    open_calls: usize,
    recorded_bytes: usize,
}

/// A call that asks for its claim.
#[derive(Clone, Debug)]
pub struct NewEntry {
    pub key: ClaimKey,
    pub fingerprint: CallFingerprint,
    pub write_id: WriteId,
    /// End of the window in which the key may be repeated.
    pub expires: TimePoint,
}

/// What the ledger says of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LedgerDecision {
    /// Nothing is known here: the key is to be claimed.
    New(EntryKey),
    /// The call is open here and may be joined.
    InProgress(EntryKey),
    Replay(RecordedResponse),
    Unknown(UnknownCause),
    Mismatch,
    /// As many calls as allowed are open.
    Full,
}

/// What the ledger knows of one attempt that was made here.
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
            open_calls: 0,
            recorded_bytes: 0,
        }
    }

    /// Looks a call up and opens an attempt if nothing forbids it.
    pub fn open(&mut self, new_entry: NewEntry) -> LedgerDecision {
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
            EntryState::AnswerNotKept => LedgerDecision::Unknown(UnknownCause::AnswerNotKept),
            EntryState::Failed => LedgerDecision::Unknown(UnknownCause::RunFailed),
            _ => LedgerDecision::InProgress(key),
        }
    }

    /// Lets a repeat wait for an open call; those that no longer wait make room.
    ///
    /// # Errors
    /// The call has ended or too many wait; the repeat is handed back.
    pub fn join(
        &mut self,
        key: EntryKey,
        waiter: W,
        is_waiting: impl Fn(&W) -> bool,
    ) -> Result<(), W> {
        let Some(entry) = self.entries.get_mut(key).filter(|entry| entry.is_open()) else {
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

    /// Records that the claim stands; false if the attempt was given up before.
    pub fn mark_won(&mut self, key: EntryKey) -> bool {
        self.advance(key, &EntryState::Claiming, EntryState::Won)
    }

    /// Records that the call is being dispatched; false if it must not be.
    pub fn dispatch(&mut self, key: EntryKey) -> bool {
        self.advance(key, &EntryState::Won, EntryState::Running)
    }

    /// Records the whole answer of a running call; returns the repeats that wait for it.
    pub fn complete(&mut self, key: EntryKey, response: RecordedResponse) -> Vec<W> {
        if response.size() <= self.limits.response_bytes {
            self.end(key, EntryState::Completed(response))
        } else {
            self.end(key, EntryState::AnswerNotKept)
        }
    }

    /// Records that a running call gave no whole answer; returns the repeats that wait for it.
    pub fn fail(&mut self, key: EntryKey) -> Vec<W> {
        self.end(key, EntryState::Failed)
    }

    /// Records that the newest attempt will never be dispatched; returns the repeats that wait.
    ///
    /// The caller vouches that nothing of the call was sent to a target. An attempt that never
    /// reached the table is forgotten at once.
    pub fn abandon(&mut self, key: EntryKey, may_be_in_table: bool) -> Vec<W> {
        let Some(entry) = self.entries.get_mut(key).filter(|entry| entry.is_open()) else {
            return Vec::new();
        };
        entry.abandon(may_be_in_table);
        if entry.abandoned.is_empty() {
            self.forget_open(key)
        } else {
            self.close(key)
        }
    }

    /// What became of an attempt that was made here.
    #[must_use]
    pub fn attempt(&self, key: &ClaimKey, write_id: &WriteId) -> AttemptStatus {
        let gone = AttemptStatus::Unknown(UnknownCause::AnswerNotKept);
        let Some(&entry_key) = self.keys.get(key) else {
            return gone;
        };
        let Some(entry) = self.entries.get(entry_key) else {
            return gone;
        };
        if entry.abandoned.contains(write_id) {
            return AttemptStatus::Abandoned;
        }
        if entry.write_id != *write_id {
            return gone;
        }
        match &entry.state {
            EntryState::Claiming | EntryState::Won | EntryState::Running => {
                AttemptStatus::InProgress(entry_key)
            }
            EntryState::Completed(response) => AttemptStatus::Completed(response.clone()),
            EntryState::AnswerNotKept => gone,
            EntryState::Failed => AttemptStatus::Unknown(UnknownCause::RunFailed),
            EntryState::Abandoned => AttemptStatus::Abandoned,
        }
    }

    /// Forgets ended calls whose window has passed, oldest first.
    pub fn expire(&mut self, now: TimePoint) {
        while let Some(&key) = self.ended_entries.front() {
            let is_due = self
                .entries
                .get(key)
                .is_none_or(|entry| entry.is_open() || entry.expires <= now);
            if !is_due {
                break;
            }
            self.forget_oldest();
        }
    }

    /// Calls that are being claimed or run.
    #[must_use]
    pub fn open_calls(&self) -> usize {
        self.open_calls
    }

    /// Keys that are known, open ones included.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Bytes of the recorded answers.
    #[must_use]
    pub fn recorded_bytes(&self) -> usize {
        self.recorded_bytes
    }

    fn insert(&mut self, new_entry: NewEntry) -> LedgerDecision {
        if self.open_calls >= self.limits.open_calls {
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
        self.open_calls += 1;
        LedgerDecision::New(key)
    }

    fn reopen(&mut self, key: EntryKey, new_entry: NewEntry) -> LedgerDecision {
        if self.open_calls >= self.limits.open_calls {
            return LedgerDecision::Full;
        }
        let entry = &mut self.entries[key];
        entry.reopen(new_entry.fingerprint, new_entry.write_id, new_entry.expires);
        self.open_calls += 1;
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

    fn end(&mut self, key: EntryKey, state: EntryState) -> Vec<W> {
        if !self.advance(key, &EntryState::Running, state) {
            return Vec::new();
        }
        self.close(key)
    }

    fn close(&mut self, key: EntryKey) -> Vec<W> {
        let entry = &mut self.entries[key];
        let waiters = mem::take(&mut entry.waiters);
        self.recorded_bytes += entry.response_size();
        self.open_calls -= 1;
        self.ended_entries.push_back(key);
        self.evict();
        waiters
    }

    fn forget_open(&mut self, key: EntryKey) -> Vec<W> {
        self.open_calls -= 1;
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
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        let Some(key) = self.ended_entries.pop_front() else {
            return;
        };
        // An open entry was reopened since; it is queued again when it ends.
        if self.entries.get(key).is_none_or(LedgerEntry::is_open) {
            return;
        }
        if let Some(entry) = self.entries.remove(key) {
            self.recorded_bytes -= entry.response_size();
            self.keys.remove(&entry.key);
        }
    }
}
