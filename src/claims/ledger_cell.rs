use {
    super::{
        ClaimKey, ClaimLedger, ClaimLimits, EntryKey, JoinedCall, JoinedOutcome, RecordedAnswer,
        UnknownReason, WriteId,
    },
    std::{
        sync::{Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::sync::{mpsc, oneshot},
};

/// When a repeat of a released call may come back.
const RELEASED_RETRY: Duration = Duration::from_millis(250);

pub(super) type JoinedSender = oneshot::Sender<JoinedOutcome>;

/// A claim that was given up before dispatch and whose row is to be deleted.
#[derive(Debug)]
pub(super) struct ReleasedClaim {
    pub(super) key: ClaimKey,
    pub(super) write_id: WriteId,
}

/// The ledger as the parts of one daemon share it; it tells the repeats that wait.
#[derive(Debug)]
pub(super) struct LedgerCell {
    ledger: Mutex<ClaimLedger<JoinedSender>>,
    releases: mpsc::Sender<ReleasedClaim>,
}

impl LedgerCell {
    pub(super) fn new(limits: ClaimLimits, releases: mpsc::Sender<ReleasedClaim>) -> Self {
        Self {
            ledger: Mutex::new(ClaimLedger::new(limits)),
            releases,
        }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, ClaimLedger<JoinedSender>> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Lets a repeat wait for an open call.
    pub(super) fn join(&self, entry: EntryKey) -> Option<JoinedCall> {
        let (sender, receiver) = oneshot::channel();
        let is_waiting = |sender: &JoinedSender| !sender.is_closed();
        let joined = self.lock().join(entry, sender, is_waiting);
        joined.ok().map(|()| JoinedCall::new(receiver))
    }

    pub(super) fn complete(&self, entry: EntryKey, answer: RecordedAnswer) {
        let outcome = JoinedOutcome::Answered(answer.clone());
        let waiters = self.lock().complete(entry, answer);
        tell(waiters, &outcome);
    }

    pub(super) fn fail(&self, entry: EntryKey) {
        let waiters = self.lock().fail(entry);
        tell(waiters, &JoinedOutcome::Unknown(UnknownReason::RunFailed));
    }

    /// Gives an attempt up that was not dispatched; its row, if any, is deleted later.
    pub(super) fn abandon(&self, entry: EntryKey, released: Option<ReleasedClaim>) {
        let outcome = JoinedOutcome::NotRun {
            retry_after: RELEASED_RETRY,
        };
        self.abandon_with(entry, released, &outcome);
    }

    pub(super) fn abandon_with(
        &self,
        entry: EntryKey,
        released: Option<ReleasedClaim>,
        outcome: &JoinedOutcome,
    ) {
        let waiters = self.lock().abandon(entry, released.is_some());
        tell(waiters, outcome);
        if let Some(released) = released {
            // A full queue leaves the row to the next claim of the key, which replaces it.
            let _ = self.releases.try_send(released);
        }
    }
}

fn tell(waiters: Vec<JoinedSender>, outcome: &JoinedOutcome) {
    for waiter in waiters {
        // A repeat that no longer waits needs no answer.
        let _ = waiter.send(outcome.clone());
    }
}
