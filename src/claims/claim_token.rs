use {
    super::{
        ClaimKey, ClaimRecord, EntryKey, RecordedResponse, ResponseText, WriteId,
        row_update::RowUpdate, shared_ledger::SharedLedger,
    },
    crate::time::TimePoint,
    std::sync::Arc,
};

/// Committed claim. Only its owner may dispatch the call, once.
///
/// Dropping the token releases the claim, since nothing was dispatched under it.
#[derive(Debug)]
pub struct ClaimToken {
    claim: Option<Box<ClaimInProgress>>,
}

/// Claim whose call is being dispatched.
///
/// Dropping it makes the call `unknown` permanently.
#[derive(Debug)]
pub struct RunningClaim {
    claim: Option<Box<ClaimInProgress>>,
}

/// Claim whose call has not ended, with the data to end it.
#[derive(Debug)]
pub(super) struct ClaimInProgress {
    pub(super) ledger: Arc<SharedLedger>,
    pub(super) entry: EntryKey,
    pub(super) key: ClaimKey,
    pub(super) write_id: WriteId,
    pub(super) deadline: TimePoint,
    pub(super) record: ClaimRecord,
}

impl ClaimToken {
    pub(super) fn new(claim: ClaimInProgress) -> Self {
        Self {
            claim: Some(Box::new(claim)),
        }
    }

    /// Whether the deadline has not passed yet. It must be checked right before dispatch.
    #[must_use]
    pub fn is_dispatchable(&self, now: TimePoint) -> bool {
        let deadline = self.claim.as_ref().map(|claim| claim.deadline);
        deadline.is_some_and(|deadline| now < deadline)
    }

    /// Turns the claim into the permission to send the call to a target once.
    ///
    /// # Errors
    /// The deadline has passed or the attempt was abandoned; returns the token for release.
    pub fn dispatch(mut self, now: TimePoint) -> Result<RunningClaim, Self> {
        if !self.is_dispatchable(now) {
            return Err(self);
        }
        let claim = self
            .claim
            .take_if(|claim| claim.ledger.lock().dispatch(claim.entry));
        match claim {
            Some(claim) => Ok(RunningClaim { claim: Some(claim) }),
            None => Err(self),
        }
    }
}

impl RunningClaim {
    pub(super) fn into_claim(mut self) -> Option<Box<ClaimInProgress>> {
        self.claim.take()
    }
}

impl ClaimInProgress {
    /// Abandons a claim under which nothing was sent to a target.
    pub(super) fn release(self) {
        let released = RowUpdate::Release {
            key: self.key,
            write_id: self.write_id,
        };
        self.ledger.abandon(self.entry, Some(released));
    }

    /// Records the response in the ledger, and in the claim's row if it is short enough.
    pub(super) fn complete(mut self, response: RecordedResponse, row_response_bytes: usize) {
        self.record.response = ResponseText::of(&response, row_response_bytes);
        let is_kept_in_row = self.record.response.is_some();
        self.ledger.complete(self.entry, response);
        if is_kept_in_row {
            self.ledger.queue_update(RowUpdate::Record {
                key: self.key,
                write_id: self.write_id,
                value: self.record.to_text(),
            });
        }
    }
}

impl Drop for ClaimToken {
    fn drop(&mut self) {
        if let Some(claim) = self.claim.take() {
            claim.release();
        }
    }
}

impl Drop for RunningClaim {
    fn drop(&mut self) {
        if let Some(claim) = self.claim.take() {
            claim.ledger.fail(claim.entry);
        }
    }
}
