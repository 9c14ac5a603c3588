use {
    super::{
        BatcherMember, CallFingerprint, ClaimRow, HeldClaim, HolderReply, RecordedResponse,
        RowChange, RowOutcome, TransportError, UnknownCause, WriteId,
    },
    crate::time::TimePoint,
    std::time::Duration,
};

/// Maximum number of batchers that are tried before the guard commits the row itself.
pub const MAX_BATCHERS: usize = 2;

/// Number of failures of the table service after which an attempt ends.
const MAX_TABLE_FAILURES: u32 = 3;
/// Delay after the first failure of the table service; doubled after each further one.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Maximum number of times that an attempt changes its write because the stored row was abandoned
/// or deleted.
const MAX_ROW_CHANGES: u32 = 4;

/// State machine of one attempt of a guard to claim a key, from the first commit to the outcome.
///
/// It does no I/O: [`ClaimAttempt::step`] returns the next action, and the `on_` methods take
/// its result. Nothing is dispatched during an attempt, so an abandoned attempt has never run
/// the call. Once the row of another holder was received, the call may have run there, and
/// the outcome is `unknown` until that holder reports otherwise.
#[derive(Clone, Debug)]
pub struct ClaimAttempt {
    row: ClaimRow,
    value: String,
    fingerprint: CallFingerprint,
    deadline: TimePoint,
    batchers: Vec<BatcherMember>,
    next_batcher: usize,
    table_failures: u32,
    row_changes: u32,
    /// Whether the row may be in the table, now or later.
    may_be_applied: bool,
    /// Conflicting claim of another attempt.
    held: Option<HeldClaim>,
    stage: AttemptStage,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum AttemptStage {
    Commit,
    Pause,
    QueryHolder,
    Ended(AttemptOutcome),
}

/// Daemon that commits a row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommitLocation {
    /// This daemon.
    Local,
    Remote(BatcherMember),
}

/// Next action of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptStep {
    Commit {
        location: CommitLocation,
        row: ClaimRow,
    },
    /// Query the holder of the conflicting claim for the result of the call.
    QueryHolder(HeldClaim),
    Pause(Duration),
    Done(AttemptOutcome),
}

/// Final result of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    Won,
    Replay(RecordedResponse),
    /// The holder of this claim is running the call.
    RunsElsewhere(HeldClaim),
    Unknown(UnknownCause),
    Mismatch,
    /// The key was not claimed and nothing was dispatched.
    Unavailable,
}

impl ClaimAttempt {
    #[must_use]
    pub fn new(
        row_key: String,
        write_id: WriteId,
        value: String,
        fingerprint: CallFingerprint,
        deadline: TimePoint,
        batchers: Vec<BatcherMember>,
    ) -> Self {
        let change = RowChange::Insert {
            value: value.clone(),
        };
        Self {
            row: ClaimRow {
                key: row_key,
                write_id,
                change,
            },
            value,
            fingerprint,
            deadline,
            batchers,
            next_batcher: 0,
            table_failures: 0,
            row_changes: 0,
            may_be_applied: false,
            held: None,
            stage: AttemptStage::Commit,
        }
    }

    /// Next action at `now`.
    #[must_use]
    pub fn step(&self, now: TimePoint) -> AttemptStep {
        if let AttemptStage::Ended(outcome) = &self.stage {
            return AttemptStep::Done(outcome.clone());
        }
        if now >= self.deadline {
            return AttemptStep::Done(self.unsettled_outcome());
        }
        match &self.stage {
            AttemptStage::Pause => AttemptStep::Pause(self.pause().min(now.until(self.deadline))),
            AttemptStage::QueryHolder => self.query_holder(),
            _ => self.commit(),
        }
    }

    /// Processes the outcome of the row from the daemon that committed it.
    pub fn on_outcome(&mut self, outcome: RowOutcome) {
        match outcome {
            RowOutcome::Applied => self.end_with(AttemptOutcome::Won),
            RowOutcome::Held(held) => self.on_held(held),
            RowOutcome::Vacant => self.change_row(self.insertion()),
            RowOutcome::Refused | RowOutcome::Full => self.end_unsettled(),
            RowOutcome::Unknown => self.on_unknown(),
        }
    }

    /// Processes a failed commit. The next batcher is tried with the same row, then this daemon; if
    /// that fails too, the attempt ends.
    pub fn on_commit_failed(&mut self, error: &TransportError) {
        if matches!(error, TransportError::NoReply(_)) {
            self.may_be_applied = true;
        }
        if self.next_batcher >= self.batchers.len() {
            return self.end_unsettled();
        }
        self.next_batcher += 1;
    }

    /// Ends the attempt with the outcome for an unsettled claim.
    pub fn end_unsettled(&mut self) {
        self.end_with(self.unsettled_outcome());
    }

    /// Processes the reply of the holder of the conflicting claim.
    pub fn on_holder(&mut self, reply: Result<HolderReply, TransportError>) {
        match reply {
            Ok(HolderReply::Completed(response)) => self.end_with(AttemptOutcome::Replay(response)),
            Ok(HolderReply::Running) => self.end_running_elsewhere(),
            Ok(HolderReply::Unknown(cause)) => self.end_unknown(cause),
            Ok(HolderReply::Abandoned) => self.change_row(self.replacement()),
            Err(_) => self.end_unknown(UnknownCause::HolderGone),
        }
    }

    /// Continues after the pause.
    pub fn on_pause(&mut self) {
        self.stage = AttemptStage::Commit;
    }

    /// Whether the row may be in the table, now or later.
    #[must_use]
    pub fn may_be_applied(&self) -> bool {
        self.may_be_applied
    }

    fn commit(&self) -> AttemptStep {
        let batcher = self.batchers.get(self.next_batcher);
        let location = batcher.map_or(CommitLocation::Local, |member| {
            CommitLocation::Remote(*member)
        });
        let row = self.row.clone();
        AttemptStep::Commit { location, row }
    }

    fn query_holder(&self) -> AttemptStep {
        match &self.held {
            Some(held) => AttemptStep::QueryHolder(held.clone()),
            None => self.commit(),
        }
    }

    fn on_held(&mut self, held: HeldClaim) {
        if held.write_id == self.row.write_id {
            return self.end_with(AttemptOutcome::Won);
        }
        let Some(record) = &held.record else {
            return self.end_unknown(UnknownCause::UnreadableClaim);
        };
        if record.fingerprint != self.fingerprint {
            return self.end_with(AttemptOutcome::Mismatch);
        }
        if let Some(response) = &record.response {
            return self.end_with(AttemptOutcome::Replay(response.to_response()));
        }
        self.held = Some(held);
        self.stage = AttemptStage::QueryHolder;
    }

    /// Commits the row again after a pause, or ends the attempt after too many failures.
    fn on_unknown(&mut self) {
        self.may_be_applied = true;
        self.table_failures += 1;
        if self.table_failures == MAX_TABLE_FAILURES {
            self.end_unsettled();
        } else {
            self.stage = AttemptStage::Pause;
        }
    }

    /// Continues with another change, since the stored row was abandoned or deleted.
    fn change_row(&mut self, change: RowChange) {
        self.row_changes += 1;
        self.held = None;
        if self.row_changes > MAX_ROW_CHANGES {
            return self.end_unsettled();
        }
        self.row.change = change;
        self.stage = AttemptStage::Commit;
    }

    fn insertion(&self) -> RowChange {
        RowChange::Insert {
            value: self.value.clone(),
        }
    }

    fn replacement(&self) -> RowChange {
        match &self.held {
            Some(held) => RowChange::Replace {
                old: held.write_id.clone(),
                value: self.value.clone(),
            },
            None => self.insertion(),
        }
    }

    /// Outcome of an attempt that ends before its claim is settled.
    fn unsettled_outcome(&self) -> AttemptOutcome {
        match self.held {
            Some(_) => AttemptOutcome::Unknown(UnknownCause::DeadlinePassed),
            None => AttemptOutcome::Unavailable,
        }
    }

    fn pause(&self) -> Duration {
        FIRST_RETRY_DELAY * (1 << self.table_failures.saturating_sub(1))
    }

    fn end_running_elsewhere(&mut self) {
        match self.held.take() {
            Some(held) => self.end_with(AttemptOutcome::RunsElsewhere(held)),
            None => self.end_unknown(UnknownCause::StillRunning),
        }
    }

    fn end_with(&mut self, outcome: AttemptOutcome) {
        self.stage = AttemptStage::Ended(outcome);
    }

    fn end_unknown(&mut self, cause: UnknownCause) {
        self.end_with(AttemptOutcome::Unknown(cause));
    }
}
