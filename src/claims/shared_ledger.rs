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

/// Time after which a released call may be retried.
const RELEASED_RETRY_DELAY: Duration = Duration::from_millis(250);

pub(super) type JoinedSender = oneshot::Sender<JoinedOutcome>;

/// Claim ledger that the tasks of one daemon share. It notifies the retries that wait for a call.
#[derive(Debug)]
pub(super) struct SharedLedger {
    ledger: Mutex<ClaimLedger<JoinedSender>>,
    updates: mpsc::Sender<UpdateTask>,
    /// Number of row updates that have not ended.
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

    /// Adds a retry that waits for a call in progress. Returns `None` if the call has ended or too many
    /// retries wait.
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

    /// Abandons an attempt that was not dispatched. Its row, if any, is deleted in the background.
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

    /// Queues an update of a row for the background task.
    ///
    /// If the queue is full, the update is dropped. This is safe: the next claim of the key replaces
    /// the row of an abandoned claim, and other daemons query this one for a response that is not
    /// in its row.
    pub(super) fn queue_update(&self, update: RowUpdate) {
        let pending = PendingUpdate::new(&self.pending);
        let _ = self.updates.try_send(UpdateTask { update, pending });
    }

    /// Waits until no update is pending.
    pub(super) async fn updates_done(&self) {
        let mut pending = self.pending.subscribe();
        // The wait cannot fail, since this ledger owns the sender.
        let _ = pending.wait_for(|pending| *pending == 0).await;
    }
}

fn notify(waiters: Vec<JoinedSender>, outcome: &JoinedOutcome) {
    for waiter in waiters {
        // A retry that no longer waits needs no outcome.
        let _ = waiter.send(outcome.clone());
    }
}
