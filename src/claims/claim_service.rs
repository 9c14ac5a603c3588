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

/// Time after which a caller may retry if the maximum number of calls is in progress.
const FULL_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Sustained transaction rate of all services together, in 1/s.
const SHARED_COMMITS_PER_S: u32 = 225;
/// Maximum sustained transaction rate of one service, in 1/s.
const MAX_COMMITS_PER_S: u32 = 75;
/// Maximum time for which a query of another daemon waits for a call that runs here.
const MAX_HOLDER_WAIT: Duration = Duration::from_secs(60);

/// Identity of the daemon that makes the claims.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimIdentity {
    pub member: MemberId,
    pub mesh: SocketAddr,
}

/// Claims of one daemon, as guard of its own target and as batcher for other guards.
///
/// Clones share one state. The background tasks end when the last clone is dropped.
pub struct ClaimService<S, T> {
    shared: Arc<ServiceState<S, T>>,
}

/// State that the clones of a [`ClaimService`] share.
pub(super) struct ServiceState<S, T> {
    pub(super) identity: ClaimIdentity,
    pub(super) ledger: Arc<SharedLedger>,
    pub(super) committer: Arc<RowCommitter<S, T>>,
}

impl<S: TableStore, T: ClaimTransport> ClaimService<S, T> {
    /// Starts the service. It must be called inside a tokio runtime.
    pub fn start(
        store: S,
        transport: T,
        identity: ClaimIdentity,
        limits: ClaimLimits,
        clock: ProcessClock,
        rng: StdRng,
    ) -> Self {
        let (sender, receiver) = mpsc::channel(limits.calls_in_progress);
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

    /// Divides the transaction rate of the table service among the services that make claims.
    pub async fn divide_commit_rate(&self, services: usize) {
        let services = u32::try_from(services.max(1)).unwrap_or(u32::MAX);
        let rate = (SHARED_COMMITS_PER_S / services).clamp(1, MAX_COMMITS_PER_S);
        self.shared.committer.set_commit_rate(rate).await;
    }

    /// Claims the key of a non-idempotent call and decides whether the call may be dispatched.
    ///
    /// Returns by the deadline of the call. The caller of this function awaits a joined call itself.
    /// Dropping the future releases the claim.
    pub async fn begin(&self, request: ClaimRequest) -> ClaimDecision {
        let decision = self.decide(request).await;
        counter!("banyantrestle_claims_total", "verdict" => decision.label()).increment(1);
        decision
    }

    /// Records the complete response of a dispatched call.
    pub fn complete(&self, claim: RunningClaim, response: RecordedResponse) {
        if let Some(claim) = claim.into_claim() {
            let limit = self.shared.committer.limits.row_response_bytes;
            claim.complete(response, limit);
        }
    }

    /// Records that a dispatched call gave no complete response. The call stays `unknown`.
    pub fn fail(&self, claim: RunningClaim) {
        drop(claim);
    }

    /// Releases a claim that was not dispatched, so that a retry may run.
    pub fn release(&self, token: ClaimToken) {
        drop(token);
    }

    /// Releases a claim whose dispatch sent no byte to a target, so that a retry may run.
    pub fn release_unsent(&self, claim: RunningClaim) {
        if let Some(claim) = claim.into_claim() {
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

    /// Replies to another daemon's query about a call that was claimed here.
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

    /// Waits up to `limit` until the rows of ended calls are written. Returns whether all of them
    /// were.
    ///
    /// Graceful shutdown calls this after the last call has ended.
    pub async fn drain(&self, limit: Duration) -> bool {
        timeout(limit, self.shared.ledger.updates_done())
            .await
            .is_ok()
    }

    /// Starts the background task that deletes expired rows and removes expired calls from the
    /// ledger.
    pub fn start_sweep(&self, store: S, timers: &TimerService) {
        let sweep = SweepActor::new(store, Arc::downgrade(&self.shared));
        let address = xtra::spawn_tokio(sweep, Mailbox::bounded(1));
        timers.subscribe(PAGE_INTERVAL, address);
    }

    /// Number of calls that are being claimed or run here.
    #[must_use]
    pub fn calls_in_progress(&self) -> usize {
        self.shared.ledger.lock().calls_in_progress()
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
        let decision = self.shared.ledger.lock().register(new_entry);
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
            None => ClaimDecision::Unknown(UnknownCause::TooManyWaiters),
        }
    }

    /// Claims the key in a separate task, so that a caller that disconnects leaves no entry in
    /// progress.
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
    /// Reply about an attempt of this daemon, after waiting up to `wait` until it has ended.
    pub(super) async fn local_reply(
        &self,
        key: &ClaimKey,
        write_id: &WriteId,
        wait: Duration,
    ) -> HolderReply {
        let status = self.ledger.lock().attempt_status(key, write_id);
        match status {
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
            // Both outcomes occur only after the attempt was abandoned.
            Ok(JoinedOutcome::NotRun { .. } | JoinedOutcome::Mismatch) => HolderReply::Abandoned,
            Err(_) => HolderReply::Running,
        }
    }
}
