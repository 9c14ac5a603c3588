//! Changes of rows in the background, after the verdict.
//!
//! The row of a claim that was given up is deleted, so that a repeat may run anywhere. What is not
//! deleted stays claimed by an attempt that this daemon knows to be given up; another guard that
//! asks may replace it. Once this daemon is gone, such a key stays `unknown`.
//!
//! A short answer is added to the row of its claim, so that repeats get it after this daemon has
//! gone. The row keeps its write id: it stays the same claim.

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

const MAX_ATTEMPTS: u32 = 3;
const RETRY_DELAY: Duration = Duration::from_millis(500);
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(4);
/// Rows that are being changed at a time.
const MAX_CONCURRENT_UPDATES: usize = 64;

/// A change of one row.
#[derive(Debug)]
pub(super) enum RowUpdate {
    /// Deletes the row of a claim that was given up before dispatch.
    Release { key: ClaimKey, write_id: WriteId },
    /// Adds the answer to the row of a claim.
    Record {
        key: ClaimKey,
        write_id: WriteId,
        value: String,
    },
}

/// A change that is to be made, counted until it has ended.
#[derive(Debug)]
pub(super) struct UpdateTask {
    pub(super) update: RowUpdate,
    pub(super) guard: PendingUpdate,
}

/// Counts one row for as long as it lives.
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

/// Runs until the last claim of the daemon is gone.
pub(super) async fn run<S, T>(committer: Arc<RowCommitter<S, T>>, mut tasks: Receiver<UpdateTask>)
where
    S: TableStore,
    T: ClaimTransport,
{
    let mut changes = JoinSet::new();
    loop {
        select! {
            biased;
            Some(_) = changes.join_next() => {}
            task = tasks.recv(), if changes.len() < MAX_CONCURRENT_UPDATES => {
                let Some(task) = task else { break };
                changes.spawn(run_task(committer.clone(), task));
            }
        }
    }
    changes.join_all().await;
}

async fn run_task<S, T>(committer: Arc<RowCommitter<S, T>>, task: UpdateTask)
where
    S: TableStore,
    T: ClaimTransport,
{
    apply_update(&committer, &task.update).await;
    drop(task.guard);
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
