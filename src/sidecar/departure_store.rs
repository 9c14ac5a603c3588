//! Keeps the departures of local targets in the store, where they outlast the sidecar.
//!
//! A target whose leaving was acknowledged may go on serving for a while, and a heartbeat that it
//! sent before may arrive late. A sidecar that has restarted in between must not take the target
//! into use again. Each sidecar has one row, which it alone writes, under a condition on the version
//! that it has read: a write of an earlier process that the store performs late has no effect.

use {
    super::{
        PlatformAdapter,
        admin_service::{confirm_target, merge_departed},
        sidecar_state::SidecarState,
        target_incarnation::TargetIncarnation,
    },
    crate::{
        error::{ProcessStep, StepError},
        table::{TableRow, TableStore, TableWrite, WriteCondition, WriteResult},
    },
    serde::{Deserialize, Serialize},
    std::{error::Error, ops::Range, sync::Arc, time::Duration},
    tokio::time::{Instant, sleep, sleep_until},
};

/// Table with one row for each sidecar beside which targets have left, keyed by its mesh address.
pub const DEPARTURE_TABLE: &str = "departures";

const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);
/// Random factors of the delay, so that sidecars do not call the store at the same time.
const RETRY_JITTER: Range<f64> = 0.5..1.5;
/// Upper bound of the random delay before the row is compared in a new epoch of the store.
const MAX_REWRITE_DELAY: Duration = Duration::from_secs(2);
/// Interval between removals of rows that no sidecar needs any more.
const REMOVAL_INTERVAL: Duration = Duration::from_secs(6 * 3_600);
/// Age from which a row is not needed: the targets in it have ended.
const ROW_RETENTION: Duration = Duration::from_secs(24 * 3_600);
const SCAN_PAGE_ROWS: usize = 500;
/// Maximum number of rows that one scan removes.
const MAX_REMOVALS: usize = 50;

/// Value of a row.
#[derive(Debug, Default, Serialize, Deserialize)]
struct DepartureRow {
    /// Time of the write in milliseconds since the Unix epoch.
    written_ms: u64,
    departed: Vec<TargetIncarnation>,
}

/// Reads the row of this sidecar at the start and writes it when a target leaves, until the process
/// ends.
pub(crate) async fn keep_departures<P, T>(state: Arc<SidecarState<P>>, store: T)
where
    P: PlatformAdapter,
    T: TableStore,
{
    let mut epochs = store.epochs();
    let mut changes = state.departures.recorded();
    let mut next_removal = Instant::now() + REMOVAL_INTERVAL.mul_f64(rand::random());
    loop {
        changes.borrow_and_update();
        let mut retry_delay = MIN_RETRY_DELAY;
        while let Err(error) = synchronize(&state, &store).await {
            slog::warn!(state.log.logger, "departures not synchronized; retrying after a delay";
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
            () = sleep_until(next_removal) => {
                next_removal = Instant::now() + REMOVAL_INTERVAL;
                if let Err(error) = remove_old_rows(&state, &store).await {
                    slog::warn!(state.log.logger, "old departures not removed";
                        "step" => %error.step, "peer" => &error.peer, "error" => %error.source);
                }
            }
        }
    }
}

/// Merges the row of this sidecar, then writes it if it lacks departures.
async fn synchronize<P: PlatformAdapter, T: TableStore>(
    state: &Arc<SidecarState<P>>,
    store: &T,
) -> Result<(), StepError> {
    let key = state.settings.listen.mesh.to_string();
    let row = store.read(DEPARTURE_TABLE, vec![key.clone()]).await;
    let row = row.map_err(|error| failed(ProcessStep::ReadTable, error))?;
    let row = row.into_iter().flatten().next();
    let stored = row.as_ref().map_or_else(DepartureRow::default, |row| {
        parse_row(row).unwrap_or_else(|error| {
            slog::warn!(state.log.logger, "row of departures can't be read; replacing it";
                "error" => %error);
            DepartureRow::default()
        })
    });
    merge_departed(state, &stored.departed).await;
    confirm_target(state, "store").await;
    let (revision, departed) = {
        let target_status = state.target();
        let departed = target_status.tracker.departed();
        (departed.revision(), departed.entries().to_vec())
    };
    if departed != stored.departed {
        let row_write = DepartureRow {
            written_ms: state.crash_watch.now_ms(),
            departed,
        };
        write_row(store, key, row.map(|row| row.version), &row_write).await?;
    }
    state.departures.set_stored(revision);
    Ok(())
}

async fn write_row<T: TableStore>(
    store: &T,
    key: String,
    version: Option<u64>,
    row: &DepartureRow,
) -> Result<(), StepError> {
    let value = serde_json::to_string(row);
    let value = value.map_err(|error| failed(ProcessStep::WriteTable, error))?;
    let write = table_write(key, row.written_ms, version, Some(value));
    let results = store.transact(vec![write]).await;
    let results = results.map_err(|error| failed(ProcessStep::WriteTable, error))?;
    match results.first() {
        Some(WriteResult::Applied { .. }) => Ok(()),
        // The write of an earlier attempt whose response was lost has been performed since.
        _ => Err(failed(
            ProcessStep::WriteTable,
            "the row has changed since it was read",
        )),
    }
}

/// Removes the rows of sidecars that have not written for long.
async fn remove_old_rows<P: PlatformAdapter, T: TableStore>(
    state: &SidecarState<P>,
    store: &T,
) -> Result<(), StepError> {
    let now_ms = state.crash_watch.now_ms();
    let retention_ms = u64::try_from(ROW_RETENTION.as_millis()).unwrap_or(u64::MAX);
    let is_old = |row: &&TableRow| {
        parse_row(row).is_ok_and(|parsed| parsed.written_ms.saturating_add(retention_ms) < now_ms)
    };
    let mut after = String::new();
    let mut removals = Vec::new();
    while removals.len() < MAX_REMOVALS {
        let page = store.scan(DEPARTURE_TABLE, &after, SCAN_PAGE_ROWS).await;
        let page = page.map_err(|error| failed(ProcessStep::ReadTable, error))?;
        let old_rows = page.iter().filter(is_old);
        removals.extend(
            old_rows.map(|row| table_write(row.key.clone(), now_ms, Some(row.version), None)),
        );
        match page.last() {
            Some(last) if page.len() >= SCAN_PAGE_ROWS => after.clone_from(&last.key),
            _ => break,
        }
    }
    removals.truncate(MAX_REMOVALS);
    if !removals.is_empty() {
        // A conflict means that the sidecar of the row has written it again.
        let results = store.transact(removals).await;
        results.map_err(|error| failed(ProcessStep::WriteTable, error))?;
    }
    Ok(())
}

fn parse_row(row: &TableRow) -> Result<DepartureRow, serde_json::Error> {
    serde_json::from_str(&row.value)
}

fn table_write(
    key: String,
    now_ms: u64,
    version: Option<u64>,
    value: Option<String>,
) -> TableWrite {
    TableWrite {
        table: DEPARTURE_TABLE.into(),
        key,
        write_id: format!("{now_ms}/{:016x}", rand::random::<u64>()),
        value,
        condition: version.map_or(WriteCondition::Absent, WriteCondition::Version),
    }
}

fn failed<E>(step: ProcessStep, error: E) -> StepError
where
    E: Into<Box<dyn Error + Send + Sync>>,
{
    StepError::new(step, DEPARTURE_TABLE, error)
}
