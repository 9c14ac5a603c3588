use {
    super::{
        ClaimLedger, ClaimLimits, EntryKey, JoinedCall, JoinedOutcome, RecordedAnswer,
        UnknownReason,
        row_upkeep::{PendingRow, RowUpkeep, UpkeepTask},
    },
    std::{
        sync::{Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::sync::{mpsc, oneshot, watch},
};

/// When a repeat of a released call may come back.
const RELEASED_RETRY: Duration = Duration::from_millis(250);

pub(super) type JoinedSender = oneshot::Sender<JoinedOutcome>;

/// The ledger as the parts of one daemon share it; it tells the repeats that wait.
#[derive(Debug)]
pub(super) struct LedgerCell {
    ledger: Mutex<ClaimLedger<JoinedSender>>,
    upkeep: mpsc::Sender<UpkeepTask>,
    /// Rows that are still to be written.
    pending: watch::Sender<usize>,
}

impl LedgerCell {
    pub(super) fn new(limits: ClaimLimits, upkeep: mpsc::Sender<UpkeepTask>) -> Self {
        Self {
            ledger: Mutex::new(ClaimLedger::new(limits)),
            upkeep,
            pending: watch::Sender::new(0),
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
    pub(super) fn abandon(&self, entry: EntryKey, released: Option<RowUpkeep>) {
        let outcome = JoinedOutcome::NotRun {
            retry_after: RELEASED_RETRY,
        };
        self.abandon_with(entry, released, &outcome);
    }

    pub(super) fn abandon_with(
        &self,
        entry: EntryKey,
        released: Option<RowUpkeep>,
        outcome: &JoinedOutcome,
    ) {
        let waiters = self.lock().abandon(entry, released.is_some());
        tell(waiters, outcome);
        if let Some(released) = released {
            self.keep_up(released);
        }
    }

    /// Has a row changed in the background.
    ///
    /// A full queue drops the change: the row of a given-up claim is replaced by the next claim
    /// of its key, and an answer that is not in its row is asked of this daemon.
    pub(super) fn keep_up(&self, upkeep: RowUpkeep) {
        let guard = PendingRow::new(&self.pending);
        let _ = self.upkeep.try_send(UpkeepTask { upkeep, guard });
    }

    /// Ends once no row is to be written.
    pub(super) async fn kept_up(&self) {
        let mut pending = self.pending.subscribe();
        // The sender lives as long as this cell.
        let _ = pending.wait_for(|pending| *pending == 0).await;
    }
}

fn tell(waiters: Vec<JoinedSender>, outcome: &JoinedOutcome) {
    for waiter in waiters {
        // A repeat that no longer waits needs no answer.
        let _ = waiter.send(outcome.clone());
    }
}
