use {
    super::{
        ContactSource, MAX_CONTACTS, MemberId, MemberView, MembershipActor,
        actor_message::{ReadLocalMember, SetContacts},
    },
    crate::{
        error::{ProcessStep, StepError},
        table::{TableRow, TableStore, TableWrite, WriteCondition},
        time::ProcessClock,
    },
    serde::{Deserialize, Serialize},
    slog::{Logger, info, warn},
    std::{future::pending, net::SocketAddr, ops::Range, sync::Arc, time::Duration},
    tokio::{sync::watch, time::sleep},
    xtra::Address,
};

/// Table with one row for each daemon, keyed by its gossip address.
pub const MEMBER_TABLE: &str = "members";
/// Time between two writes of the row of a daemon.
pub const ROW_REFRESH_INTERVAL: Duration = Duration::from_secs(6 * 3_600);
/// Age at which any daemon may remove the row of a daemon that is no longer a member.
pub const ROW_RETENTION: Duration = Duration::from_secs(24 * 3_600);

const SCAN_PAGE_ROWS: usize = 500;
/// Maximum number of rows that one scan removes.
const MAX_REMOVALS: usize = 50;
/// Upper bound of the random delay before the row is written again in a new epoch of the table
/// service, so that daemons do not write at the same time.
const MAX_REWRITE_DELAY: Duration = Duration::from_millis(300);
const MIN_RETRY_DELAY: Duration = Duration::from_secs(1);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(60);
/// Maximum delay of a daemon that knows no other one.
const MAX_LONE_RETRY_DELAY: Duration = Duration::from_secs(4);
const MIN_SCAN_INTERVAL: Duration = Duration::from_secs(300);
/// Minimum mean time between two scans of the table by any daemon of the deployment, which bounds
/// the load on the table service.
const SHARED_SCAN_INTERVAL: Duration = Duration::from_secs(1);

/// Range of the random factor of a delay, so that daemons do not scan at the same time.
const JITTER_FACTORS: Range<f64> = 0.75..1.25;

/// Row of one daemon in the member table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRow {
    pub gossip: SocketAddr,
    /// Start time of the process, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Time of the write, in milliseconds since the Unix epoch.
    pub written_ms: u64,
}

/// Last write of the row of this process.
#[derive(Clone, Copy, Debug)]
struct RowWrite {
    /// Time in milliseconds since the Unix epoch.
    at_ms: u64,
    /// Epoch of the table service; `None` if it was not known.
    epoch: Option<u64>,
}

impl RowWrite {
    fn is_fresh(self, now_ms: u64, epoch: Option<u64>) -> bool {
        self.epoch == epoch && now_ms < self.at_ms + as_millis(ROW_REFRESH_INTERVAL)
    }
}

/// Keeps the row of this process up to date and reads the gossip addresses of other daemons.
#[derive(Debug)]
pub struct BootstrapTask<S> {
    pub store: S,
    pub actor: Address<MembershipActor>,
    pub view: watch::Receiver<Arc<MemberView>>,
    /// Number of other daemons in the table at the last scan.
    pub listed: watch::Sender<Option<usize>>,
    pub clock: ProcessClock,
    pub log: Logger,
}

impl<S: TableStore> BootstrapTask<S> {
    /// Runs until the actor has stopped; a failed table request is retried after a delay.
    pub async fn run(self) {
        let mut retry_delay = MIN_RETRY_DELAY;
        let mut last_write = None;
        let mut epochs = self.store.epochs();
        while let Ok(member) = self.actor.send(ReadLocalMember).await {
            let jitter = rand::random_range(JITTER_FACTORS);
            if let Err(error) = self.refresh(member.id, &mut last_write).await {
                warn!(self.log, "member table request failed; retrying after a delay";
                    "step" => %error.step, "peer" => &error.peer, "error" => %error.source);
                sleep(retry_delay.mul_f64(jitter)).await;
                let max_delay = if self.view.borrow().members.len() > 1 {
                    MAX_RETRY_DELAY
                } else {
                    MAX_LONE_RETRY_DELAY
                };
                retry_delay = (retry_delay * 2).min(max_delay);
                continue;
            }
            retry_delay = MIN_RETRY_DELAY;
            let delay = scan_interval(member.live_members).mul_f64(jitter);
            let written_epoch = last_write.and_then(|write| write.epoch);
            tokio::select! {
                () = sleep(delay) => {}
                epoch = wait_for_other_epoch(&mut epochs, written_epoch) => {
                    info!(self.log, "member row may be lost; writing it again"; "epoch" => epoch);
                    sleep(MAX_REWRITE_DELAY.mul_f64(rand::random())).await;
                }
            }
        }
    }

    async fn refresh(
        &self,
        id: MemberId,
        last_write: &mut Option<RowWrite>,
    ) -> Result<(), StepError> {
        let now_ms = self.clock.wall_ms();
        let epoch = self.epoch();
        let is_fresh = last_write.is_some_and(|write| write.is_fresh(now_ms, epoch));
        if !is_fresh {
            self.write_row(id, now_ms).await?;
            // The response to the first write may be the first to name the epoch. A later write
            // counts for the epoch before it, as the epoch may have risen in the meantime.
            *last_write = Some(RowWrite {
                at_ms: now_ms,
                epoch: epoch.or_else(|| self.epoch()),
            });
        }
        let scan_epoch = self.epoch();
        let rows = self.read_rows().await?;
        let addresses = rows.iter().filter_map(|row| Some(parse_row(row)?.gossip));
        let addresses: Vec<_> = addresses.filter(|&peer| peer != id.address).collect();
        info!(self.log, "member table read"; "rows" => rows.len());
        self.listed.send_replace(Some(addresses.len()));
        let contacts = SetContacts {
            source: ContactSource::Table,
            addresses,
        };
        let _ = self.actor.send(contacts).await;
        // A version of an earlier epoch may belong to another write by now.
        if self.epoch() != scan_epoch {
            return Ok(());
        }
        self.remove_old_rows(id, &rows, now_ms).await
    }

    fn epoch(&self) -> Option<u64> {
        *self.store.epochs().borrow()
    }

    async fn write_row(&self, id: MemberId, now_ms: u64) -> Result<(), StepError> {
        let row = MemberRow {
            gossip: id.address,
            started_ms: id.started_ms,
            written_ms: now_ms,
        };
        let value = serde_json::to_string(&row)
            .map_err(|error| StepError::new(ProcessStep::WriteTable, MEMBER_TABLE, error))?;
        let write = TableWrite {
            table: MEMBER_TABLE.into(),
            key: id.address.to_string(),
            write_id: format!("{id}/{now_ms}"),
            value: Some(value),
            condition: WriteCondition::Always,
        };
        self.write(vec![write]).await
    }

    async fn read_rows(&self) -> Result<Vec<TableRow>, StepError> {
        let mut rows: Vec<TableRow> = Vec::new();
        while rows.len() < MAX_CONTACTS {
            let after = rows.last().map_or("", |row| &row.key).to_owned();
            let page = self.store.scan(MEMBER_TABLE, &after, SCAN_PAGE_ROWS).await;
            let page =
                page.map_err(|error| StepError::new(ProcessStep::ReadTable, MEMBER_TABLE, error))?;
            let is_last = page.len() < SCAN_PAGE_ROWS;
            rows.extend(page);
            if is_last {
                break;
            }
        }
        Ok(rows)
    }

    /// Removes unreadable rows and old rows of daemons that are no longer members. The condition on
    /// the version keeps a row that was written since the scan.
    async fn remove_old_rows(
        &self,
        id: MemberId,
        rows: &[TableRow],
        now_ms: u64,
    ) -> Result<(), StepError> {
        let view = self.view.borrow().clone();
        let oldest_ms = now_ms.saturating_sub(as_millis(ROW_RETENTION));
        let is_old = |row: &&TableRow| match parse_row(row) {
            Some(parsed) => parsed.written_ms < oldest_ms && view.find(parsed.gossip).is_none(),
            None => true,
        };
        let removals = rows.iter().filter(is_old).take(MAX_REMOVALS);
        let removals = removals.map(|row| TableWrite {
            table: MEMBER_TABLE.into(),
            key: row.key.clone(),
            write_id: format!("{id}/{now_ms}/remove"),
            value: None,
            condition: WriteCondition::Version(row.version),
        });
        let removals: Vec<_> = removals.collect();
        if removals.is_empty() {
            return Ok(());
        }
        self.write(removals).await
    }

    async fn write(&self, writes: Vec<TableWrite>) -> Result<(), StepError> {
        let results = self.store.transact(writes).await;
        results
            .map(|_| ())
            .map_err(|error| StepError::new(ProcessStep::WriteTable, MEMBER_TABLE, error))
    }
}

/// Waits until the epoch is not `written_epoch`; forever if it can't change any more.
async fn wait_for_other_epoch(
    epochs: &mut watch::Receiver<Option<u64>>,
    written_epoch: Option<u64>,
) -> Option<u64> {
    let epoch = epochs.wait_for(|epoch| *epoch != written_epoch).await;
    let epoch = epoch.map(|epoch| *epoch);
    match epoch {
        Ok(epoch) => epoch,
        Err(_) => pending().await,
    }
}

fn parse_row(row: &TableRow) -> Option<MemberRow> {
    serde_json::from_str(&row.value).ok()
}

fn scan_interval(members: usize) -> Duration {
    let members = u32::try_from(members).unwrap_or(u32::MAX);
    SHARED_SCAN_INTERVAL
        .saturating_mul(members)
        .max(MIN_SCAN_INTERVAL)
}

fn as_millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
