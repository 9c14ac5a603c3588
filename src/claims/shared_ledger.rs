use {
    super::{
        ClaimLedger, ClaimLimits, EntryKey, JoinedCall, JoinedOutcome, RecordedResponse,
        UnknownCause,
        row_update::{PendingUpdate, RowUpdate, UpdateTask},
    },
    std::{
        sync::{Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::sync::{mpsc, oneshot, watch},
};

/// When a repeat of a released call may come back.
const RELEASED_RETRY_DELAY: Duration = Duration::from_millis(250);

pub(super) type JoinedSender = oneshot::Sender<JoinedOutcome>;

/// The ledger as the parts of one daemon share it; it tells the repeats that wait.
#[derive(Debug)]
pub(super) struct SharedLedger {
    ledger: Mutex<ClaimLedger<JoinedSender>>,
    updates: mpsc::Sender<UpdateTask>,
    /// Rows that are still to be written.
    pending: watch::Sender<usize>,
}

impl SharedLedger {
    pub(super) fn new(limits: ClaimLimits, updates: mpsc::Sender<UpdateTask>) -> Self {
        Self {
            ledger: Mutex::new(ClaimLedger::new(limits)),
            updates,
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

    pub(super) fn complete(&self, entry: EntryKey, response: RecordedResponse) {
        let outcome = JoinedOutcome::Completed(response.clone());
        let waiters = self.lock().complete(entry, response);
        notify(waiters, &outcome);
    }

    pub(super) fn fail(&self, entry: EntryKey) {
        let waiters = self.lock().fail(entry);
        notify(waiters, &JoinedOutcome::Unknown(UnknownCause::RunFailed));
    }

    /// Gives an attempt up that was not dispatched; its row, if any, is deleted later.
    pub(super) fn abandon(&self, entry: EntryKey, released: Option<RowUpdate>) {
        let outcome = JoinedOutcome::NotRun {
            retry_after: RELEASED_RETRY_DELAY,
        };
        self.abandon_with(entry, released, &outcome);
    }

    pub(super) fn abandon_with(
        &self,
        entry: EntryKey,
        released: Option<RowUpdate>,
        outcome: &JoinedOutcome,
    ) {
        let waiters = self.lock().abandon(entry, released.is_some());
        notify(waiters, outcome);
        if let Some(released) = released {
            self.queue_update(released);
        }
    }

    /// Has a row changed in the background.
    ///
    /// A full queue drops the change: the row of a given-up claim is replaced by the next claim
    /// of its key, and an answer that is not in its row is asked of this daemon.
    pub(super) fn queue_update(&self, update: RowUpdate) {
        let guard = PendingUpdate::new(&self.pending);
        let _ = self.updates.try_send(UpdateTask { update, guard });
    }

    /// Ends once no row is to be written.
    pub(super) async fn updates_done(&self) {
        let mut pending = self.pending.subscribe();
        // The sender lives as long as this cell.
        let _ = pending.wait_for(|pending| *pending == 0).await;
    }
}

fn notify(waiters: Vec<JoinedSender>, outcome: &JoinedOutcome) {
    for waiter in waiters {
        // A repeat that no longer waits needs no answer.
        let _ = waiter.send(outcome.clone());
    }
}
