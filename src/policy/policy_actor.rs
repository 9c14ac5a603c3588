use {
    super::{
        ActivePolicy, EnforceOutcome, PeerReport, PolicyDocument, PolicyFetch, PolicySource,
        PollSchedule, VersionReport, VersionTracker, VersionedPolicy,
        policy_row::PolicyRow,
        policy_table::{CommitOutcome, PolicyTable},
        version_history::VersionHistory,
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

/// Maximum time to fetch the policy of a peer.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of members stored as peers to fetch from.
const MAX_FETCH_PEERS: usize = 16;

/// Polls the table service, fetches from peers, and enforces the version that the tracker selects.
pub(super) struct PolicyActor<T: TableStore, S: PolicySource> {
    pub(super) table: PolicyTable<T>,
    pub(super) source: S,
    pub(super) events: EventLog,
    pub(super) logger: Logger,
    pub(super) clock: ProcessClock,
    pub(super) current: watch::Sender<Arc<ActivePolicy>>,
    pub(super) ready: watch::Sender<bool>,
    pub(super) state: PolicyActorState,
}

impl<T: TableStore, S: PolicySource> Actor for PolicyActor<T, S> {
    type Stop = ();

    async fn stopped(self) {}
}

/// State that the actor alone changes.
pub(super) struct PolicyActorState {
    tracker: VersionTracker,
    schedule: PollSchedule,
    rng: StdRng,
    is_polling: bool,
    history: VersionHistory,
}

impl PolicyActorState {
    pub(super) fn new(tracker: VersionTracker, schedule: PollSchedule, rng: StdRng) -> Self {
        let mut history = VersionHistory::default();
        history.push_policy(tracker.current());
        Self {
            history,
            tracker,
            schedule,
            rng,
            is_polling: false,
        }
    }
}

/// A peer reported its version.
pub(super) struct VersionReported(pub PeerReport);

/// The table service committed a policy that was submitted to this daemon.
pub(super) struct PolicyCommitted(pub VersionedPolicy);

/// The number of members changed.
pub(super) struct MemberCountChanged(pub u32);

/// The number of other daemons in the member table changed.
pub(super) struct ListedMembersChanged(pub usize);

/// The list of the other members' mesh addresses changed.
pub(super) struct PeersChanged(pub Vec<SocketAddr>);

/// Requests the document of a version from the history of this daemon.
pub(super) struct FindDocument(pub u64);

struct PollFinished(Result<Option<PolicyRow>, StepError>);

struct FetchFinished {
    fetch: PolicyFetch,
    fetched: Result<Result<VersionedPolicy, StepError>, Elapsed>,
}

impl<T: TableStore, S: PolicySource> PolicyActor<T, S> {
    fn start_poll(&mut self, context: &Context<Self>) {
        if self.state.is_polling || !self.state.schedule.is_due(self.clock.now()) {
            return;
        }
        self.state.is_polling = true;
        let table = self.table.clone();
        Self::spawn_and_notify(context, async move { PollFinished(table.read().await) });
    }

    fn start_fetch(&mut self, context: &Context<Self>) {
        let now = self.clock.now();
        let Some(fetch) = self.state.tracker.start_fetch(now) else {
            return;
        };
        let source = self.source.clone();
        Self::spawn_and_notify(context, async move {
            let fetched = timeout(FETCH_TIMEOUT, source.fetch(fetch.peer)).await;
            FetchFinished { fetch, fetched }
        });
    }

    /// Spawns `task` and sends its output to the actor.
    fn spawn_and_notify<M>(context: &Context<Self>, task: impl Future<Output = M> + Send + 'static)
    where
        Self: Handler<M>,
        M: Send + 'static,
    {
        let actor = context.mailbox().address();
        tokio::spawn(async move {
            let message = task.await;
            if let Some(actor) = actor.try_upgrade() {
                // Sending fails only if the actor has stopped and no longer needs the output.
                let _ = actor.send(message).await;
            }
        });
    }

    fn try_enforce(&mut self, policy: VersionedPolicy, origin: &str) {
        let version = policy.version;
        let outcome = self.state.tracker.try_enforce(policy);
        self.apply_outcome(outcome, version, origin);
    }

    fn apply_outcome(&mut self, outcome: EnforceOutcome, version: u64, origin: &str) {
        match outcome {
            EnforceOutcome::Enforced(policy) => self.enforce(policy, origin),
            EnforceOutcome::AlreadyEnforced | EnforceOutcome::Outdated => {}
            EnforceOutcome::HashMismatch(report) => self.report_hash_mismatch(report, origin),
            EnforceOutcome::Invalid(errors) => {
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
        let gauge_value = u32::try_from(version).unwrap_or(u32::MAX);
        gauge!("banyantrestle_policy_version").set(gauge_value);
        self.events
            .record(EventKind::PolicyEnforced { version, hash });
        self.state.history.push_policy(&policy);
        self.current.send_replace(policy);
    }

    fn report_hash_mismatch(&self, report: VersionReport, origin: &str) {
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

    /// Writes the policy in force to the table service if that holds an older version or none.
    fn restore_row(&mut self, row: Option<&PolicyRow>) {
        let current = self.state.tracker.current();
        let stored_version = row.map_or(0, |row| row.policy.version);
        if stored_version >= current.version {
            return;
        }
        let reason = format!("table has version {stored_version}");
        warn!(self.logger, "restoring the policy row in the table service";
            "version" => current.version, "reason" => &reason);
        let Ok(write) =
            PolicyRow::replacement_write(row, &current.to_versioned(), &mut self.state.rng)
        else {
            return;
        };
        let (table, logger) = (self.table.clone(), self.logger.clone());
        tokio::spawn(async move {
            if let CommitOutcome::Refused(error) = table.try_commit(write).await {
                warn!(logger, "could not restore the policy row; retrying after the next poll";
                    "error" => %error);
            }
        });
    }

    fn update_readiness(&mut self) {
        let is_ready = self.state.tracker.check_readiness(self.clock.now());
        self.ready
            .send_if_modified(|published| std::mem::replace(published, is_ready) != is_ready);
    }
}

impl<T: TableStore, S: PolicySource> Handler<TimerTick> for PolicyActor<T, S> {
    type Return = ();

    async fn handle(&mut self, _tick: TimerTick, context: &mut Context<Self>) {
        self.start_poll(context);
        self.start_fetch(context);
        self.update_readiness();
    }
}

impl<T: TableStore, S: PolicySource> Handler<VersionReported> for PolicyActor<T, S> {
    type Return = ();

    async fn handle(&mut self, reported: VersionReported, context: &mut Context<Self>) {
        let now = self.clock.now();
        if let Some(mismatch) = self.state.tracker.record_report(reported.0, now) {
            self.report_hash_mismatch(mismatch, &reported.0.peer.to_string());
        }
        self.start_fetch(context);
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
        self.try_enforce(policy, "operator");
    }
}

impl<T: TableStore, S: PolicySource> Handler<MemberCountChanged> for PolicyActor<T, S> {
    type Return = ();

    async fn handle(&mut self, changed: MemberCountChanged, _context: &mut Context<Self>) {
        self.state.schedule.set_member_count(changed.0);
    }
}

impl<T: TableStore, S: PolicySource> Handler<ListedMembersChanged> for PolicyActor<T, S> {
    type Return = ();

    async fn handle(&mut self, changed: ListedMembersChanged, _context: &mut Context<Self>) {
        self.state.tracker.set_listed_members(changed.0);
    }
}

impl<T: TableStore, S: PolicySource> Handler<PeersChanged> for PolicyActor<T, S> {
    type Return = ();

    async fn handle(&mut self, changed: PeersChanged, context: &mut Context<Self>) {
        let other_members = changed.0.len();
        let state = &mut self.state;
        let peers = changed
            .0
            .into_iter()
            .sample(&mut state.rng, MAX_FETCH_PEERS);
        state.tracker.set_peers(peers, other_members);
        self.start_fetch(context);
    }
}

impl<T: TableStore, S: PolicySource> Handler<FindDocument> for PolicyActor<T, S> {
    type Return = Option<PolicyDocument>;

    async fn handle(
        &mut self,
        request: FindDocument,
        _context: &mut Context<Self>,
    ) -> Self::Return {
        self.state.history.document(request.0)
    }
}

impl<T: TableStore, S: PolicySource> Handler<PollFinished> for PolicyActor<T, S> {
    type Return = ();

    async fn handle(&mut self, finished: PollFinished, _context: &mut Context<Self>) {
        let now = self.clock.now();
        let state = &mut self.state;
        state.is_polling = false;
        match finished.0 {
            Ok(row) => {
                state.schedule.record_success(now, &mut state.rng);
                state.tracker.record_table_response(now);
                if let Some(row) = &row {
                    self.try_enforce(row.policy.clone(), "table policy");
                }
                self.restore_row(row.as_ref());
            }
            Err(error) => {
                state.schedule.record_failure(now, &mut state.rng);
                counter!("banyantrestle_policy_poll_failures_total").increment(1);
                warn!(self.logger, "could not read the policy row; retrying at the next poll";
                    "step" => %error.step, "peer" => &error.peer, "error" => %error);
            }
        }
        self.update_readiness();
    }
}

impl<T: TableStore, S: PolicySource> Handler<FetchFinished> for PolicyActor<T, S> {
    type Return = ();

    async fn handle(&mut self, finished: FetchFinished, context: &mut Context<Self>) {
        let origin = finished.fetch.peer.to_string();
        let fetched = finished.fetched.unwrap_or_else(|elapsed| {
            Err(StepError::new(ProcessStep::LoadPolicy, &origin, elapsed))
        });
        let fetched = fetched.inspect_err(|error| {
            warn!(self.logger, "could not fetch the policy; trying another peer if it is still needed";
                "step" => %error.step, "peer" => &error.peer, "error" => %error);
        });
        let fetched = fetched.ok();
        let version = fetched.as_ref().map_or(0, |policy| policy.version);
        if let Some(outcome) = self.state.tracker.finish_fetch(fetched) {
            self.apply_outcome(outcome, version, &origin);
        }
        self.start_fetch(context);
        self.update_readiness();
    }
}

/// Spawns the actor on the Tokio runtime.
pub(super) fn spawn<T, S>(actor: PolicyActor<T, S>) -> Address<PolicyActor<T, S>>
where
    T: TableStore,
    S: PolicySource,
{
    xtra::spawn_tokio(actor, xtra::Mailbox::bounded(MAILBOX_CAPACITY))
}

/// Maximum number of messages in the mailbox; further senders wait.
const MAILBOX_CAPACITY: usize = 256;

/// Creates a random number generator with a random seed, so that processes differ.
pub(super) fn randomly_seeded_rng() -> StdRng {
    StdRng::from_rng(&mut rand::rng())
}
