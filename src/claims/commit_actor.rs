use {
    super::{
        BatchProgress, BatchStep, ClaimLimits, ClaimRow, CommitQueue, QueueStep, QueuedRow,
        RowOutcome, claim_row::CLAIMS_TABLE,
    },
    crate::{context::ServiceName, table::TableStore, time::ProcessClock},
    metrics::{counter, histogram},
    std::{collections::HashMap, time::Duration},
    tokio::{
        sync::oneshot,
        time::{sleep, timeout},
    },
    xtra::{Actor, Context, Handler, Mailbox, WeakAddress},
};

/// Maximum number of services whose claims this daemon commits.
const MAX_SERVICES: usize = 1_024;

type ReplySender = oneshot::Sender<RowOutcome>;

/// Commits the claims of this daemon and of other guards, with one transaction in flight per
/// service.
#[derive(Debug)]
pub(super) struct CommitActor<S> {
    store: S,
    limits: ClaimLimits,
    clock: ProcessClock,
    queues: HashMap<ServiceName, CommitQueue<ReplySender>>,
}

/// Rows to commit. Rows that exceed the queue get the outcome [`RowOutcome::Full`] without delay.
#[derive(Debug)]
pub(super) struct CommitRows {
    pub(super) service: ServiceName,
    pub(super) rows: Vec<QueuedRow<ReplySender>>,
}

/// New sustained rate of transactions per service, in 1/s.
#[derive(Clone, Copy, Debug)]
pub(super) struct SetCommitRate(pub(super) u32);

/// The pause that the queue requested has ended.
struct PauseEnded(ServiceName);

/// The transaction in flight has ended.
struct BatchEnded(ServiceName);

impl<S: TableStore> CommitActor<S> {
    pub(super) fn new(store: S, limits: ClaimLimits, clock: ProcessClock) -> Self {
        Self {
            store,
            limits,
            clock,
            queues: HashMap::new(),
        }
    }

    fn push(&mut self, service: &ServiceName, row: QueuedRow<ReplySender>) {
        let limits = self.limits;
        let now = self.clock.now();
        let pushed = match self.queue(service) {
            Some(queue) => queue.push(row, &limits, now),
            None => Err(row),
        };
        if let Err(row) = pushed {
            counter!("banyantrestle_claim_rows_refused_total").increment(1);
            // A guard that no longer waits needs no reply.
            let _ = row.reply.send(RowOutcome::Full);
        }
    }

    /// Queue of a service; `None` if it has none and the limit of services is reached.
    fn queue(&mut self, service: &ServiceName) -> Option<&mut CommitQueue<ReplySender>> {
        if !self.queues.contains_key(service) {
            if self.queues.len() >= MAX_SERVICES {
                return None;
            }
            let queue = CommitQueue::new(&self.limits, self.clock.now());
            self.queues.insert(service.clone(), queue);
        }
        self.queues.get_mut(service)
    }

    fn run_step(&mut self, service: ServiceName, address: WeakAddress<Self>) {
        let now = self.clock.now();
        let Some(queue) = self.queues.get_mut(&service) else {
            return;
        };
        match queue.step(&self.limits, now) {
            QueueStep::Commit(batch) => {
                let store = self.store.clone();
                let limit = self.limits.commit_timeout;
                tokio::spawn(async move {
                    commit_batch(&store, batch, limit).await;
                    send(&address, BatchEnded(service)).await;
                });
            }
            QueueStep::Wait(pause) => {
                tokio::spawn(async move {
                    sleep(pause).await;
                    send(&address, PauseEnded(service)).await;
                });
            }
            QueueStep::Idle => {}
        }
    }
}

impl<S: TableStore> Actor for CommitActor<S> {
    type Stop = ();

    async fn stopped(self) {}
}

impl<S: TableStore> Handler<CommitRows> for CommitActor<S> {
    type Return = ();

    async fn handle(&mut self, message: CommitRows, context: &mut Context<Self>) {
        for row in message.rows {
            self.push(&message.service, row);
        }
        self.run_step(message.service, context.mailbox().address());
    }
}

impl<S: TableStore> Handler<BatchEnded> for CommitActor<S> {
    type Return = ();

    async fn handle(&mut self, message: BatchEnded, context: &mut Context<Self>) {
        if let Some(queue) = self.queues.get_mut(&message.0) {
            queue.on_batch_ended();
        }
        self.run_step(message.0, context.mailbox().address());
    }
}

impl<S: TableStore> Handler<SetCommitRate> for CommitActor<S> {
    type Return = ();

    async fn handle(&mut self, SetCommitRate(rate): SetCommitRate, _: &mut Context<Self>) {
        self.limits.commits_per_s = rate;
    }
}

impl<S: TableStore> Handler<PauseEnded> for CommitActor<S> {
    type Return = ();

    async fn handle(&mut self, message: PauseEnded, context: &mut Context<Self>) {
        if let Some(queue) = self.queues.get_mut(&message.0) {
            queue.on_pause_ended();
        }
        self.run_step(message.0, context.mailbox().address());
    }
}

async fn send<S, M>(address: &WeakAddress<CommitActor<S>>, message: M)
where
    CommitActor<S>: Handler<M>,
    M: Send + 'static,
{
    // A stopped actor needs no further messages.
    let _ = address.send(message).await;
}

async fn commit_batch<S: TableStore>(
    store: &S,
    batch: Vec<QueuedRow<ReplySender>>,
    limit: Duration,
) {
    let (rows, replies): (Vec<ClaimRow>, Vec<ReplySender>) = batch
        .into_iter()
        .map(|queued| (queued.row, queued.reply))
        .unzip();
    let count = u32::try_from(rows.len()).unwrap_or(u32::MAX);
    histogram!("banyantrestle_claim_batch_rows").record(f64::from(count));
    let mut progress = BatchProgress::new(rows);
    // Rows that are sent but unsettled at the limit are reported as unknown.
    let _ = timeout(limit, run_batch(store, &mut progress)).await;
    for (outcome, reply) in progress.into_outcomes().into_iter().zip(replies) {
        let _ = reply.send(outcome);
    }
}

async fn run_batch<S: TableStore>(store: &S, progress: &mut BatchProgress) {
    loop {
        match progress.step() {
            BatchStep::Transact => {
                let writes = progress.unsettled().map(ClaimRow::to_write).collect();
                progress.on_transact_sent();
                counter!("banyantrestle_claim_transactions_total").increment(1);
                let result = store.transact(writes).await;
                progress.on_transacted(result);
            }
            BatchStep::ReadBack => {
                let keys = progress.unsettled().map(|row| row.key.clone()).collect();
                let result = store.read(CLAIMS_TABLE, keys).await;
                progress.on_read(result);
            }
            BatchStep::Pause(pause) => {
                sleep(pause).await;
                progress.on_pause();
            }
            BatchStep::Done => break,
        }
    }
}

/// Capacity of the actor's mailbox, in messages. Senders wait while it is full.
pub(super) const MAILBOX_CAPACITY: usize = 1_024;

pub(super) fn spawn<S: TableStore>(actor: CommitActor<S>) -> xtra::Address<CommitActor<S>> {
    xtra::spawn_tokio(actor, Mailbox::bounded(MAILBOX_CAPACITY))
}
