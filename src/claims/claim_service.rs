use {
    super::{
        AttemptStatus, BatcherMember, ClaimDecision, ClaimKey, ClaimLimits, ClaimRequest,
        ClaimRowResult, ClaimToken, ClaimTransport, CommitReply, CommitRequest, EntryKey,
        HolderQuery, HolderReply, JoinedOutcome, LedgerDecision, NewEntry, RecordedResponse,
        RowOutcome, RunningClaim, UnknownCause, WriteId,
        claim_driver::ClaimDriver,
        claim_transport::MAX_REQUEST_ROWS,
        commit_actor::{self, CommitActor},
        row_committer::RowCommitter,
        row_update,
        shared_ledger::SharedLedger,
        sweep_actor::{PAGE_INTERVAL, SweepActor},
    },
    crate::{
        context::ServiceName,
        membership::MemberId,
        table::TableStore,
        time::{ProcessClock, TimerService},
    },
    metrics::counter,
    rand::rngs::StdRng,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        sync::{mpsc, oneshot},
        time::timeout,
    },
    xtra::Mailbox,
};

/// When a caller may come back if as many calls as allowed are open or queued.
const FULL_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Transactions of all services together, sustained, in 1/s.
const SHARED_COMMITS_PER_S: u32 = 225;
/// Transactions of one service, sustained, in 1/s.
const MAX_COMMITS_PER_S: u32 = 75;
/// Longest wait of a repeat for the end of a call that runs at another daemon.
const MAX_HOLDER_WAIT: Duration = Duration::from_secs(60);

/// Identity of the daemon that claims.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimIdentity {
    pub member: MemberId,
    pub mesh: SocketAddr,
}

/// The claims of one daemon: as guard of its own target and as batcher for other guards.
///
/// Clones share one state; what runs in the background ends with the last of them.
pub struct ClaimService<S, T> {
    shared: Arc<ServiceState<S, T>>,
}

/// What the clones share.
pub(super) struct ServiceState<S, T> {
    pub(super) identity: ClaimIdentity,
    pub(super) ledger: Arc<SharedLedger>,
    pub(super) committer: Arc<RowCommitter<S, T>>,
}

impl<S: TableStore, T: ClaimTransport> ClaimService<S, T> {
    /// Starts the service inside a tokio runtime.
    pub fn start(
        store: S,
        transport: T,
        identity: ClaimIdentity,
        limits: ClaimLimits,
        clock: ProcessClock,
        rng: StdRng,
    ) -> Self {
        let (sender, receiver) = mpsc::channel(limits.open_calls);
        let actor = commit_actor::spawn(CommitActor::new(store, limits, clock));
        let committer = RowCommitter::new(identity.member, clock, limits, transport, actor, rng);
        let committer = Arc::new(committer);
        let ledger = Arc::new(SharedLedger::new(limits, sender));
        tokio::spawn(row_update::run(committer.clone(), receiver));
        let shared = ServiceState {
            identity,
            ledger,
            committer,
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Replaces the live members that may commit the claims of a service.
    pub fn set_members(&self, service: ServiceName, members: Vec<BatcherMember>) {
        self.shared
            .committer
            .ranking()
            .set_members(service, members);
    }

    /// Shares the transactions of the table service out over the services that claim.
    pub async fn divide_commit_rate(&self, services: usize) {
        let services = u32::try_from(services.max(1)).unwrap_or(u32::MAX);
        let rate = (SHARED_COMMITS_PER_S / services).clamp(1, MAX_COMMITS_PER_S);
        self.shared.committer.set_commit_rate(rate).await;
    }

    /// Decides a non-idempotent call before it is dispatched.
    ///
    /// Returns by the deadline of the call, except that a joined call is waited for by the caller
    /// of this. Dropping the future releases the claim.
    pub async fn begin(&self, request: ClaimRequest) -> ClaimDecision {
        let decision = self.decide(request).await;
        counter!("banyantrestle_claims_total", "verdict" => decision.label()).increment(1);
        decision
    }

    /// Records the whole answer of a dispatched call.
    pub fn complete(&self, claim: RunningClaim, response: RecordedResponse) {
        if let Some(claim) = claim.take() {
            let limit = self.shared.committer.limits.row_response_bytes;
            claim.complete(response, limit);
        }
    }

    /// Records that a dispatched call gave no whole answer; it stays `unknown`.
    pub fn fail(&self, claim: RunningClaim) {
        drop(claim);
    }

    /// Gives up a claim that was not dispatched, so that a repeat may run.
    pub fn release(&self, token: ClaimToken) {
        drop(token);
    }

    /// Gives up a claim whose dispatch sent no byte to a target, so that a repeat may run.
    pub fn release_unsent(&self, claim: RunningClaim) {
        if let Some(claim) = claim.take() {
            claim.release();
        }
    }

    /// Commits rows for the guard of another daemon.
    pub async fn serve_commit(&self, request: CommitRequest) -> CommitReply {
        let is_valid = request.rows.len() <= MAX_REQUEST_ROWS
            && request
                .rows
                .iter()
                .all(|row| row.is_valid(&request.service));
        if !is_valid {
            return CommitReply {
                results: Vec::new(),
            };
        }
        let ids: Vec<WriteId> = request
            .rows
            .iter()
            .map(|row| row.write_id.clone())
            .collect();
        let receivers = self
            .shared
            .committer
            .enqueue(&request.service, request.rows)
            .await;
        let mut results = Vec::with_capacity(ids.len());
        for (write_id, receiver) in ids.into_iter().zip(receivers) {
            let outcome = receiver.await.unwrap_or(RowOutcome::Unknown);
            results.push(ClaimRowResult { write_id, outcome });
        }
        CommitReply { results }
    }

    /// Tells another daemon what became of a call that was claimed here.
    pub async fn serve_query(&self, request: HolderQuery) -> HolderReply {
        if request.holder != self.shared.identity.member {
            return HolderReply::Unknown(UnknownCause::HolderGone);
        }
        let wait = Duration::from_millis(request.wait_ms).min(MAX_HOLDER_WAIT);
        let shared = &self.shared;
        shared
            .local_reply(&request.key, &request.write_id, wait)
            .await
    }

    /// Waits until the rows of ended calls are written, `limit` at most; true if all are.
    ///
    /// To be called in a graceful shutdown, after the last call.
    pub async fn drain(&self, limit: Duration) -> bool {
        timeout(limit, self.shared.ledger.updates_done())
            .await
            .is_ok()
    }

    /// Deletes expired rows and forgets expired calls in the background.
    pub fn start_sweep(&self, store: S, timers: &TimerService) {
        let sweep = SweepActor::new(store, Arc::downgrade(&self.shared));
        let address = xtra::spawn_tokio(sweep, Mailbox::bounded(1));
        timers.subscribe(PAGE_INTERVAL, address);
    }

    /// Calls that are being claimed or run here.
    #[must_use]
    pub fn open_calls(&self) -> usize {
        self.shared.ledger.lock().open_calls()
    }

    async fn decide(&self, request: ClaimRequest) -> ClaimDecision {
        let committer = &self.shared.committer;
        let now = committer.clock.now();
        let write_id = WriteId::generate(self.shared.identity.member, &mut *committer.rng());
        let new_entry = NewEntry {
            key: request.key.clone(),
            fingerprint: request.fingerprint,
            write_id: write_id.clone(),
            expires: now + request.window,
        };
        let decision = self.shared.ledger.lock().open(new_entry);
        match decision {
            LedgerDecision::New(entry) => self.claim(entry, write_id, request).await,
            LedgerDecision::InProgress(entry) => self.join(entry),
            LedgerDecision::Replay(response) => ClaimDecision::Replay(response),
            LedgerDecision::Unknown(cause) => ClaimDecision::Unknown(cause),
            LedgerDecision::Mismatch => ClaimDecision::Mismatch,
            LedgerDecision::Full => ClaimDecision::Unavailable {
                retry_after: FULL_RETRY_DELAY,
            },
        }
    }

    fn join(&self, entry: EntryKey) -> ClaimDecision {
        match self.shared.ledger.join(entry) {
            Some(joined) => ClaimDecision::Joined(joined),
            None => ClaimDecision::Unknown(UnknownCause::TooManyRepeats),
        }
    }

    /// Claims the key in a task of its own, so that a caller that goes away leaves no entry open.
    async fn claim(
        &self,
        entry: EntryKey,
        write_id: WriteId,
        request: ClaimRequest,
    ) -> ClaimDecision {
        let shared = &self.shared;
        let now = shared.committer.clock.now();
        let admitted = shared.committer.breaker().admit(now);
        if let Err(retry_after) = admitted {
            shared.ledger.abandon(entry, None);
            return ClaimDecision::Unavailable { retry_after };
        }
        let (decision_sender, decision) = oneshot::channel();
        let driver = ClaimDriver::new(shared.clone(), entry, write_id, request);
        tokio::spawn(driver.run(decision_sender));
        let failed = ClaimDecision::Unknown(UnknownCause::RunFailed);
        decision.await.unwrap_or(failed)
    }
}

impl<S, T> Clone for ClaimService<S, T> {
    fn clone(&self) -> Self {
        Self {
            shared: self.shared.clone(),
        }
    }
}

impl<S: TableStore, T: ClaimTransport> ServiceState<S, T> {
    /// What became of an attempt that was made here, after waiting for its end.
    pub(super) async fn local_reply(
        &self,
        key: &ClaimKey,
        write_id: &WriteId,
        wait: Duration,
    ) -> HolderReply {
        let record = self.ledger.lock().attempt(key, write_id);
        match record {
            AttemptStatus::Completed(response) => HolderReply::Completed(response),
            AttemptStatus::Abandoned => HolderReply::Abandoned,
            AttemptStatus::Unknown(cause) => HolderReply::Unknown(cause),
            AttemptStatus::InProgress(entry) => self.await_end(entry, wait).await,
        }
    }

    async fn await_end(&self, entry: EntryKey, wait: Duration) -> HolderReply {
        let Some(joined) = self.ledger.join(entry) else {
            return HolderReply::Running;
        };
        match timeout(wait, joined.outcome()).await {
            Ok(JoinedOutcome::Completed(response)) => HolderReply::Completed(response),
            Ok(JoinedOutcome::Unknown(cause)) => HolderReply::Unknown(cause),
            // Both are told only once the attempt was given up.
            Ok(JoinedOutcome::NotRun { .. } | JoinedOutcome::Mismatch) => HolderReply::Abandoned,
            Err(_) => HolderReply::Running,
        }
    }
}
