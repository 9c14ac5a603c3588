use {
    super::{CallFingerprint, ClaimKey, RecordedResponse, WriteId},
    crate::time::TimePoint,
};

/// Attempts on one key that are remembered as given up.
const MAX_ABANDONED_ATTEMPTS: usize = 8;

/// What this daemon knows of one key; `W` are the repeats that wait.
#[derive(Debug)]
pub(super) struct LedgerEntry<W> {
    pub(super) key: ClaimKey,
    pub(super) fingerprint: CallFingerprint,
    /// Newest attempt.
    pub(super) write_id: WriteId,
    pub(super) state: EntryState,
    pub(super) waiters: Vec<W>,
    /// Attempts that were given up before dispatch and that may stand in the table.
    pub(super) abandoned: Vec<WriteId>,
    pub(super) expires: TimePoint,
}

/// How far the newest attempt on a key has come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum EntryState {
    /// The claim is being committed.
    Claiming,
    /// The claim stands; nothing was dispatched.
    Won,
    /// The call was dispatched.
    Running,
    Completed(RecordedResponse),
    /// The call ran; its answer was too large to keep.
    AnswerNotKept,
    /// The call was dispatched and gave no whole answer.
    Failed,
    /// The attempt was given up and will never be dispatched.
    Abandoned,
}

impl<W> LedgerEntry<W> {
    pub(super) fn is_open(&self) -> bool {
        matches!(
            self.state,
            EntryState::Claiming | EntryState::Won | EntryState::Running
        )
    }

    /// Bytes of the recorded answer.
    pub(super) fn response_size(&self) -> usize {
        match &self.state {
            EntryState::Completed(response) => response.size(),
            _ => 0,
        }
    }

    /// Starts another attempt after one that was given up.
    pub(super) fn reopen(
        &mut self,
        fingerprint: CallFingerprint,
        write_id: WriteId,
        expires: TimePoint,
    ) {
        self.fingerprint = fingerprint;
        self.write_id = write_id;
        self.expires = expires;
        self.state = EntryState::Claiming;
    }

    pub(super) fn abandon(&mut self, may_be_in_table: bool) {
        self.state = EntryState::Abandoned;
        if !may_be_in_table {
            return;
        }
        if self.abandoned.len() == MAX_ABANDONED_ATTEMPTS {
            self.abandoned.remove(0);
        }
        self.abandoned.push(self.write_id.clone());
    }
}
