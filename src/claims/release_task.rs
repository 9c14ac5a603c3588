//! Deletes the rows of claims that were given up, so that a repeat may run anywhere.
//!
//! What is not deleted stays claimed by an attempt that this daemon knows to be given up; another
//! guard that asks may replace it. Once this daemon is gone, such a key stays `unknown`.

use {
    super::{
        ClaimRow, ClaimTransport, CommitPlace, RowChange, RowOutcome, WriteId,
        commit_path::CommitPath, ledger_cell::ReleasedClaim,
    },
    crate::platform::TableStore,
    std::{sync::Arc, time::Duration},
    tokio::{sync::mpsc::Receiver, time::sleep},
};

const MAX_ATTEMPTS: u32 = 3;
const RETRY_PAUSE: Duration = Duration::from_millis(500);
const ATTEMPT_LIMIT: Duration = Duration::from_secs(4);

/// Runs until the last claim of the daemon is gone.
pub(super) async fn run<S, T>(path: Arc<CommitPath<S, T>>, mut released: Receiver<ReleasedClaim>)
where
    S: TableStore,
    T: ClaimTransport,
{
    while let Some(claim) = released.recv().await {
        delete(&path, &claim).await;
    }
}

async fn delete<S, T>(path: &CommitPath<S, T>, claim: &ReleasedClaim)
where
    S: TableStore,
    T: ClaimTransport,
{
    let row = ClaimRow {
        key: claim.key.row_key(),
        write_id: WriteId::draw(path.member, &mut *path.rng()),
        change: RowChange::Delete {
            old: claim.write_id.clone(),
        },
    };
    for _ in 0..MAX_ATTEMPTS {
        if path.gate().is_closed(path.clock.now()) {
            return;
        }
        let batchers = path.batchers(&claim.key.service);
        let place = batchers
            .first()
            .map_or(CommitPlace::Here, |member| CommitPlace::At(*member));
        let outcome = path
            .commit(place, &claim.key.service, row.clone(), ATTEMPT_LIMIT)
            .await;
        let is_settled = matches!(
            outcome,
            Ok(RowOutcome::Applied | RowOutcome::Held(_) | RowOutcome::Vacant)
        );
        if is_settled {
            return;
        }
        sleep(RETRY_PAUSE).await;
    }
}
