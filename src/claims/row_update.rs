//! Background updates of rows after the decision on their claim.
//!
//! The row of an abandoned claim is deleted, so that a retry may run at any guard. If the deletion
//! fails, the key stays claimed by an attempt that this daemon knows to be abandoned, and another
//! guard that queries this daemon may replace the row. Once this daemon has ended, such a key
//! stays `unknown`.
//!
//! A short response is added to the row of its claim, so that retries get it after this daemon has
//! ended. The row keeps its write id, since it stays the same claim.

use {
    super::{
        ClaimKey, ClaimRow, ClaimTransport, CommitLocation, RowChange, RowOutcome, WriteId,
        row_committer::RowCommitter,
    },
    crate::table::TableStore,
    std::{sync::Arc, time::Duration},
    tokio::{
        select,
        sync::{mpsc::Receiver, watch},
        task::JoinSet,
        time::sleep,
    },
};

/// Maximum number of commits that are tried for one update.
const MAX_ATTEMPTS: u32 = 3;
const RETRY_DELAY: Duration = Duration::from_millis(500);
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(4);
/// Maximum number of rows that are updated at the same time.
const MAX_CONCURRENT_UPDATES: usize = 64;

/// Update of one row.
#[derive(Debug)]
pub(super) enum RowUpdate {
    /// Deletes the row of a claim that was abandoned before dispatch.
    Release { key: ClaimKey, write_id: WriteId },
    /// Adds the response to the row of a claim.
    Record {
        key: ClaimKey,
        write_id: WriteId,
        value: String,
    },
}

/// Queued update with its count as pending.
#[derive(Debug)]
pub(super) struct UpdateTask {
    pub(super) update: RowUpdate,
    pub(super) pending: PendingUpdate,
}

/// Counts one update as pending until it is dropped.
#[derive(Debug)]
pub(super) struct PendingUpdate(watch::Sender<usize>);

impl PendingUpdate {
    pub(super) fn new(pending: &watch::Sender<usize>) -> Self {
        pending.send_modify(|pending| *pending += 1);
        Self(pending.clone())
    }
}

impl Drop for PendingUpdate {
    fn drop(&mut self) {
        self.0.send_modify(|pending| *pending -= 1);
    }
}

impl RowUpdate {
    fn key(&self) -> &ClaimKey {
        match self {
            Self::Release { key, .. } | Self::Record { key, .. } => key,
        }
    }

    fn row<S, T>(&self, committer: &RowCommitter<S, T>) -> ClaimRow
    where
        S: TableStore,
        T: ClaimTransport,
    {
        let (write_id, change) = match self {
            Self::Release { write_id, .. } => {
                let old = write_id.clone();
                let deletion = WriteId::generate(committer.member, &mut *committer.rng());
                (deletion, RowChange::Delete { old })
            }
            Self::Record {
                write_id, value, ..
            } => {
                let (old, value) = (write_id.clone(), value.clone());
                (write_id.clone(), RowChange::Replace { old, value })
            }
        };
        ClaimRow {
            key: self.key().row_key(),
            write_id,
            change,
        }
    }
}

/// Runs the queued updates until the ledger of the daemon is dropped.
pub(super) async fn run<S, T>(committer: Arc<RowCommitter<S, T>>, mut tasks: Receiver<UpdateTask>)
where
    S: TableStore,
    T: ClaimTransport,
{
    let mut updates = JoinSet::new();
    loop {
        select! {
            biased;
            Some(_) = updates.join_next() => {}
            task = tasks.recv(), if updates.len() < MAX_CONCURRENT_UPDATES => {
                let Some(task) = task else { break };
                updates.spawn(run_task(committer.clone(), task));
            }
        }
    }
    updates.join_all().await;
}

async fn run_task<S, T>(committer: Arc<RowCommitter<S, T>>, task: UpdateTask)
where
    S: TableStore,
    T: ClaimTransport,
{
    apply_update(&committer, &task.update).await;
    drop(task.pending);
}

async fn apply_update<S, T>(committer: &RowCommitter<S, T>, update: &RowUpdate)
where
    S: TableStore,
    T: ClaimTransport,
{
    let row = update.row(committer);
    let service = &update.key().service;
    if !row.is_valid(service) {
        return;
    }
    for _ in 0..MAX_ATTEMPTS {
        if committer.breaker().is_open(committer.clock.now()) {
            return;
        }
        let first = committer.batchers(service).first().copied();
        let location = first.map_or(CommitLocation::Local, CommitLocation::Remote);
        let outcome = committer
            .commit(location, service, row.clone(), ATTEMPT_TIMEOUT)
            .await;
        let is_settled = matches!(
            outcome,
            Ok(RowOutcome::Applied | RowOutcome::Held(_) | RowOutcome::Vacant)
        );
        if is_settled {
            return;
        }
        sleep(RETRY_DELAY).await;
    }
}
