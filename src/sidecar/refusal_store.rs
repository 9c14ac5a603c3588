use {
    super::{PlatformAdapter, sidecar_state::SidecarState},
    crate::{
        crash::{RequestDigest, SuspectEntry, SuspectRecord},
        error::{ProcessStep, StepError},
        table::{TableRow, TableStore, TableWrite, WriteCondition},
    },
    std::{error::Error, ops::Range, sync::Arc, time::Duration},
    tokio::time::sleep,
};

/// Table with one row for each refused request, keyed by its digest.
pub const REFUSAL_TABLE: &str = "refusals";

const SCAN_PAGE_ROWS: usize = 500;
/// Maximum number of rows that are read.
const MAX_ROWS: usize = 4_096;
/// Maximum number of rows that one transaction writes.
const MAX_WRITES: usize = 50;
const MIN_RETRY_DELAY: Duration = Duration::from_millis(500);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(10);
/// Random factors of the delay, so that sidecars do not call the store at the same time.
const RETRY_JITTER: Range<f64> = 0.5..1.5;
/// Upper bound of the random delay before the rows are compared in a new epoch of the store.
const MAX_REWRITE_DELAY: Duration = Duration::from_secs(2);

/// A row of the table.
#[derive(Debug)]
struct StoredRefusal {
    digest: RequestDigest,
    version: u64,
    /// `None` if the row can't be read; it is written again.
    entry: Option<SuspectEntry>,
}

/// Keeps the refusals in the store, where they outlast a loss of all sidecars, until the process
/// ends.
///
/// Rows are read at the start and written when a request is refused or its refusal ends. Both are
/// rare, so a write reads all rows first.
pub(crate) async fn keep_refusals<P, T>(state: Arc<SidecarState<P>>, store: T)
where
    P: PlatformAdapter,
    T: TableStore,
{
    let mut epochs = store.epochs();
    let mut changes = state.crash_watch.refusal_changes();
    loop {
        changes.borrow_and_update();
        let mut retry_delay = MIN_RETRY_DELAY;
        while let Err(error) = synchronize(&state, &store).await {
            slog::warn!(state.log.logger, "refusals not stored; retrying after a delay";
                "step" => %error.step, "peer" => &error.peer, "error" => %error.source);
            sleep(retry_delay.mul_f64(rand::random_range(RETRY_JITTER))).await;
            retry_delay = (retry_delay * 2).min(MAX_RETRY_DELAY);
        }
        // The first response of the store may be the first to name its epoch.
        epochs.borrow_and_update();
        tokio::select! {
            result = changes.changed() => {
                if result.is_err() {
                    return;
                }
            }
            Ok(()) = epochs.changed() => {
                sleep(MAX_REWRITE_DELAY.mul_f64(rand::random())).await;
            }
        }
    }
}

/// Merges the rows of the store, then writes those that differ.
async fn synchronize<P: PlatformAdapter, T: TableStore>(
    state: &SidecarState<P>,
    store: &T,
) -> Result<(), StepError> {
    let stored: Vec<_> = read_rows(store)
        .await?
        .iter()
        .filter_map(parse_row)
        .collect();
    let records = stored.iter().filter_map(|row| {
        let (digest, entry) = (row.digest, row.entry.clone()?);
        Some(SuspectRecord { digest, entry })
    });
    state.crash_watch.merge(&records.collect::<Vec<_>>());
    let known = state.crash_watch.suspects().refusal_records();
    let writes = plan_writes(state.crash_watch.now_ms(), &stored, &known);
    let mut writes = writes.map_err(|error| failed(ProcessStep::WriteTable, error))?;
    writes.truncate(MAX_WRITES);
    if !writes.is_empty() {
        // A conflict means that another sidecar has written the row; the next change merges it.
        let results = store.transact(writes).await;
        results.map_err(|error| failed(ProcessStep::WriteTable, error))?;
    }
    Ok(())
}

/// Writes that bring the table from its rows to the known refusals.
fn plan_writes(
    now_ms: u64,
    stored: &[StoredRefusal],
    known: &[SuspectRecord],
) -> Result<Vec<TableWrite>, serde_json::Error> {
    let mut writes = Vec::new();
    for SuspectRecord { digest, entry } in known {
        let row = stored.iter().find(|row| row.digest == *digest);
        if row.is_none_or(|row| row.entry.as_ref() != Some(entry)) {
            let value = serde_json::to_string(entry)?;
            let version = row.map(|row| row.version);
            writes.push(row_write(*digest, version, Some(value), now_ms));
        }
    }
    let is_expired = |row: &&StoredRefusal| {
        row.entry
            .as_ref()
            .is_some_and(|entry| entry.is_expired(now_ms))
    };
    let expired = stored.iter().filter(is_expired);
    writes.extend(expired.map(|row| row_write(row.digest, Some(row.version), None, now_ms)));
    Ok(writes)
}

fn failed<E>(step: ProcessStep, error: E) -> StepError
where
    E: Into<Box<dyn Error + Send + Sync>>,
{
    StepError::new(step, REFUSAL_TABLE, error)
}

async fn read_rows<T: TableStore>(store: &T) -> Result<Vec<TableRow>, StepError> {
    let mut rows: Vec<TableRow> = Vec::new();
    while rows.len() < MAX_ROWS {
        let after = rows.last().map_or("", |row| &row.key).to_owned();
        let page = store.scan(REFUSAL_TABLE, &after, SCAN_PAGE_ROWS).await;
        let page = page.map_err(|error| failed(ProcessStep::ReadTable, error))?;
        let is_last = page.len() < SCAN_PAGE_ROWS;
        rows.extend(page);
        if is_last {
            break;
        }
    }
    Ok(rows)
}

fn parse_row(row: &TableRow) -> Option<StoredRefusal> {
    Some(StoredRefusal {
        digest: row.key.parse().ok()?,
        version: row.version,
        entry: serde_json::from_str(&row.value).ok(),
    })
}

fn row_write(
    digest: RequestDigest,
    version: Option<u64>,
    value: Option<String>,
    now_ms: u64,
) -> TableWrite {
    TableWrite {
        table: REFUSAL_TABLE.into(),
        key: digest.to_string(),
        write_id: format!("{now_ms}/{:016x}", rand::random::<u64>()),
        value,
        condition: version.map_or(WriteCondition::Absent, WriteCondition::Version),
    }
}
