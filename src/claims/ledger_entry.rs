use {
    super::{CallFingerprint, ClaimKey, RecordedResponse, WriteId},
    crate::time::TimePoint,
};

/// Maximum number of abandoned attempts that are kept for one key.
const MAX_ABANDONED_ATTEMPTS: usize = 8;

/// Ledger state of one key. `W` is a retry that waits for the call.
#[derive(Debug)]
pub(super) struct LedgerEntry<W> {
    pub(super) key: ClaimKey,
    pub(super) fingerprint: CallFingerprint,
    /// Write id of the newest attempt.
    pub(super) write_id: WriteId,
    pub(super) state: EntryState,
    pub(super) waiters: Vec<W>,
    /// Attempts that were abandoned before dispatch and that may be in the table.
    pub(super) abandoned: Vec<WriteId>,
    pub(super) expires: TimePoint,
}

/// State of the newest attempt on a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum EntryState {
    /// The claim is being committed.
    Claiming,
    /// The claim is committed; nothing was dispatched.
    Won,
    /// The call was dispatched.
    Running,
    Completed(RecordedResponse),
    /// The call ran; its response was too large to record.
    ResponseNotKept,
    /// The call was dispatched and gave no complete response.
    Failed,
    /// The attempt was abandoned and will never be dispatched.
    Abandoned,
}

impl<W> LedgerEntry<W> {
    pub(super) fn is_in_progress(&self) -> bool {
        matches!(
            self.state,
            EntryState::Claiming | EntryState::Won | EntryState::Running
        )
    }

    /// Size of the recorded response in bytes.
    pub(super) fn response_size(&self) -> usize {
        match &self.state {
            EntryState::Completed(response) => response.size(),
            _ => 0,
        }
    }

    /// Starts another attempt after an abandoned one.
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
