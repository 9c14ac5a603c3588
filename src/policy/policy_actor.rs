use {
    super::{
        ActivePolicy, OfferVerdict, PeerReport, PolicyDocument, PolicyFetch, PolicySource,
        PollSchedule, VersionReport, VersionTracker, VersionedPolicy,
        kept_versions::KeptVersions,
        policy_row::PolicyRow,
        policy_table::{CommitAttempt, PolicyTable},
    },
    crate::{
        error::{ProcessStep, StepError},
        events::{EventKind, EventLog, EventReason},
        table::TableStore,
        time::{ProcessClock, TimerTick},
    },
    metrics::{counter, gauge},
    rand::{SeedableRng, rngs::StdRng, seq::IteratorRandom},
    slog::{Logger, error, info, warn},
    std::{future::Future, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        sync::watch,
        time::{error::Elapsed, timeout},
    },
    xtra::{Actor, Address, Context, Handler},
};

/// Wait for a peer's policy.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);
/// Members that are kept to fetch from.
const KEPT_PEERS: usize = 16;

/// Runs the version decisions: polls the table service, fetches from peers, enforces.
pub(super) struct PolicyActor<T: TableStore, S: PolicySource> {
    pub(super) table: PolicyTable<T>,
    pub(super) source: S,
    pub(super) events: EventLog,
    pub(super) logger: Logger,
    pub(super) clock: ProcessClock,
    pub(super) current: watch::Sender<Arc<ActivePolicy>>,
    pub(super) ready: watch::Sender<bool>,
    pub(super) state: PolicyState,
}

impl<T: TableStore, S: PolicySource> Actor for PolicyActor<T, S> {
    type Stop = ();

    async fn stopped(self) {}
}

/// What the actor knows.
pub(super) struct PolicyState {
    tracker: VersionTracker,
    schedule: PollSchedule,
    rng: StdRng,
    is_polling: bool,
    kept: KeptVersions,
}

impl PolicyState {
    pub(super) fn new(tracker: VersionTracker, schedule: PollSchedule, rng: StdRng) -> Self {
        let mut kept = KeptVersions::default();
        kept.keep(tracker.current());
        Self {
            kept,
            tracker,
            schedule,
            rng,
            is_polling: false,
        }
    }
}

/// A peer told its version.
pub(super) struct PolicyHeard(pub PeerReport);

/// The table service committed a policy that was submitted here.
pub(super) struct PolicyCommitted(pub VersionedPolicy);

/// The number of members changed.
pub(super) struct MembersChanged(pub u32);

/// Mesh addresses of the other members.
pub(super) struct PeersChanged(pub Vec<SocketAddr>);

/// Asks for the document of a version that was in force here.
pub(super) struct FindVersion(pub u64);

struct PollEnded(Result<Option<PolicyRow>, StepError>);

struct FetchEnded {
    asked: PolicyFetch,
    fetched: Result<Result<VersionedPolicy, StepError>, Elapsed>,
}

impl<T: TableStore, S: PolicySource> PolicyActor<T, S> {
    fn poll(&mut self, context: &Context<Self>) {
        if self.state.is_polling || !self.state.schedule.is_due(self.clock.now()) {
            return;
        }
        self.state.is_polling = true;
        let table = self.table.clone();
        Self::run(context, async move { PollEnded(table.read().await) });
    }

    fn fetch(&mut self, context: &Context<Self>) {
        let now = self.clock.now();
        let Some(asked) = self.state.tracker.begin_fetch(now) else {
            return;
        };
        let source = self.source.clone();
        Self::run(context, async move {
            let fetched = timeout(FETCH_TIMEOUT, source.fetch(asked.peer)).await;
            FetchEnded { asked, fetched }
        });
    }

    /// Runs `work` beside the actor and sends it the outcome.
    fn run<M>(context: &Context<Self>, work: impl Future<Output = M> + Send + 'static)
    where
        Self: Handler<M>,
        M: Send + 'static,
    {
        let actor = context.mailbox().address();
        tokio::spawn(async move {
            let message = work.await;
            if let Some(actor) = actor.try_upgrade() {
                // A stopped actor needs no outcome.
                let _ = actor.send(message).await;
            }
        });
    }

    fn offer(&mut self, policy: VersionedPolicy, origin: &str) {
        let version = policy.version;
        let verdict = self.state.tracker.offer(policy);
        self.carry_out(verdict, version, origin);
    }

    fn carry_out(&mut self, verdict: OfferVerdict, version: u64, origin: &str) {
        match verdict {
            OfferVerdict::Enforced(policy) => self.enforce(policy, origin),
            OfferVerdict::Same | OfferVerdict::Older => {}
            OfferVerdict::HashClash(report) => self.report_clash(report, origin),
            OfferVerdict::Invalid(errors) => {
                let first = errors.first().map(ToString::to_string);
                let reason = format!("invalid: {}", first.unwrap_or_default());
                self.reject(version, reason, origin);
            }
        }
    }

    fn enforce(&mut self, policy: Arc<ActivePolicy>, origin: &str) {
        let (version, hash) = (policy.version, policy.hash);
        info!(self.logger, "policy enforced";
            "version" => version, "hash" => %hash, "peer" => origin);
        let shown = u32::try_from(version).unwrap_or(u32::MAX);
        gauge!("banyantrestle_policy_version").set(shown);
        self.events
            .record(EventKind::PolicyEnforced { version, hash });
        self.state.kept.keep(&policy);
        self.current.send_replace(policy);
    }

    fn report_clash(&self, report: VersionReport, origin: &str) {
        counter!("banyantrestle_policy_clashes_total").increment(1);
        let reason = format!(
            "hash {} differs from {}, which is in force",
            report.hash,
            self.state.tracker.current().hash
        );
        self.reject(report.version, reason, origin);
    }

    fn reject(&self, version: u64, reason: String, origin: &str) {
        error!(self.logger, "policy rejected";
            "step" => %ProcessStep::LoadPolicy, "peer" => origin,
            "version" => version, "reason" => &reason);
        counter!("banyantrestle_policy_rejected_total").increment(1);
        let reason = EventReason::from(reason);
        self.events
            .record(EventKind::PolicyRejected { version, reason });
    }

    /// Puts the policy in force back into a table that holds an older one, or none.
    fn restore_table(&mut self, row: Option<&PolicyRow>) {
        let current = self.state.tracker.current();
        let stored = row.map_or(0, |row| row.policy.version);
        if stored >= current.version {
            return;
        }
        let reason = format!("table has version {stored}");
        warn!(self.logger, "policy row restored";
            "version" => current.version, "reason" => &reason);
        let Ok(write) = PolicyRow::replace(row, &current.to_versioned(), &mut self.state.rng)
        else {
            return;
        };
        let (table, logger) = (self.table.clone(), self.logger.clone());
        tokio::spawn(async move {
            if let CommitAttempt::Refused(error) = table.commit(write).await {
                warn!(logger, "policy row not restored"; "error" => %error);
            }
        });
    }

    fn update_readiness(&mut self) {
        let is_ready = self.state.tracker.is_ready(self.clock.now());
        self.ready
            .send_if_modified(|known| std::mem::replace(known, is_ready) != is_ready);
    }
}

impl<T: TableStore, S: PolicySource> Handler<TimerTick> for PolicyActor<T, S> {
    type Return = ();

    async fn handle(&mut self, _tick: TimerTick, context: &mut Context<Self>) {
        self.poll(context);
        self.fetch(context);
        self.update_readiness();
    }
}

impl<T: TableStore, S: PolicySource> Handler<PolicyHeard> for PolicyActor<T, S> {
    type Return = ();

    async fn handle(&mut self, heard: PolicyHeard, context: &mut Context<Self>) {
        let now = self.clock.now();
        if let Some(clash) = self.state.tracker.hear(heard.0, now) {
            self.report_clash(clash, &heard.0.peer.to_string());
        }
        self.fetch(context);
        self.update_readiness();
    }
}

impl<T: TableStore, S: PolicySource> Handler<PolicyCommitted> for PolicyActor<T, S> {
    type Return = ();

    async fn handle(&mut self, committed: PolicyCommitted, _context: &mut Context<Self>) {
        let policy = committed.0;
        let (version, hash) = (policy.version, policy.hash());
        self.events
            .record(EventKind::PolicyAccepted { version, hash });
        self.offer(policy, "operator");
    }
}

impl<T: TableStore, S: PolicySource> Handler<MembersChanged> for PolicyActor<T, S> {
    type Return = ();

    async fn handle(&mut self, changed: MembersChanged, _context: &mut Context<Self>) {
        self.state.schedule.set_members(changed.0);
    }
}

impl<T: TableStore, S: PolicySource> Handler<PeersChanged> for PolicyActor<T, S> {
    type Return = ();

    async fn handle(&mut self, changed: PeersChanged, context: &mut Context<Self>) {
        let others = changed.0.len();
        let state = &mut self.state;
        let peers = changed.0.into_iter().sample(&mut state.rng, KEPT_PEERS);
        state.tracker.set_peers(peers, others);
        self.fetch(context);
    }
}

impl<T: TableStore, S: PolicySource> Handler<FindVersion> for PolicyActor<T, S> {
    type Return = Option<PolicyDocument>;

    async fn handle(&mut self, find: FindVersion, _context: &mut Context<Self>) -> Self::Return {
        self.state.kept.find(find.0)
    }
}

impl<T: TableStore, S: PolicySource> Handler<PollEnded> for PolicyActor<T, S> {
    type Return = ();

    async fn handle(&mut self, ended: PollEnded, _context: &mut Context<Self>) {
        let now = self.clock.now();
        let state = &mut self.state;
        state.is_polling = false;
        match ended.0 {
            Ok(row) => {
                state.schedule.succeeded(now, &mut state.rng);
                state.tracker.note_table_answer(now);
                if let Some(row) = &row {
                    self.offer(row.policy.clone(), "table policy");
                }
                self.restore_table(row.as_ref());
            }
            Err(error) => {
                state.schedule.failed(now, &mut state.rng);
                counter!("banyantrestle_policy_poll_failures_total").increment(1);
                warn!(self.logger, "policy not read";
                    "step" => %error.step, "peer" => &error.peer, "error" => %error);
            }
        }
        self.update_readiness();
    }
}

impl<T: TableStore, S: PolicySource> Handler<FetchEnded> for PolicyActor<T, S> {
    type Return = ();

    async fn handle(&mut self, ended: FetchEnded, context: &mut Context<Self>) {
        let origin = ended.asked.peer.to_string();
        let fetched = ended.fetched.unwrap_or_else(|elapsed| {
            Err(StepError::new(ProcessStep::LoadPolicy, &origin, elapsed))
        });
        let fetched = fetched.inspect_err(|error| {
            warn!(self.logger, "policy not fetched"; "step" => %error.step,
                "peer" => &error.peer, "error" => %error);
        });
        let fetched = fetched.ok();
        let version = fetched.as_ref().map_or(0, |policy| policy.version);
        if let Some(verdict) = self.state.tracker.end_fetch(fetched) {
            self.carry_out(verdict, version, &origin);
        }
        self.fetch(context);
        self.update_readiness();
    }
}

/// Starts the actor.
pub(super) fn spawn<T, S>(actor: PolicyActor<T, S>) -> Address<PolicyActor<T, S>>
where
    T: TableStore,
    S: PolicySource,
{
    xtra::spawn_tokio(actor, xtra::Mailbox::bounded(MAILBOX_CAPACITY))
}

/// Messages that wait for the actor.
const MAILBOX_CAPACITY: usize = 256;

/// A generator with a seed of its own for each process.
pub(super) fn process_rng() -> StdRng {
    StdRng::from_rng(&mut rand::rng())
}
