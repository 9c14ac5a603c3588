use {
    super::{
        AnswerRequest, AttemptRecord, ClaimKey, ClaimLimits, ClaimOpening, ClaimRequest,
        ClaimRowResult, ClaimToken, ClaimTransport, ClaimVerdict, CommitAnswer, CommitRequest,
        EntryKey, HolderAnswer, JoinedOutcome, LedgerVerdict, RecordedAnswer, RingMember,
        RowOutcome, RunningClaim, UnknownReason, WriteId,
        claim_driver::ClaimDriver,
        claim_transport::MAX_REQUEST_ROWS,
        commit_actor::{self, CommitActor},
        commit_path::CommitPath,
        ledger_cell::LedgerCell,
        row_upkeep,
        sweep_actor::{SWEEP_PERIOD, SweepActor},
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
const FULL_RETRY: Duration = Duration::from_secs(1);
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
    shared: Arc<ServiceShared<S, T>>,
}

/// What the clones share.
pub(super) struct ServiceShared<S, T> {
    pub(super) identity: ClaimIdentity,
    pub(super) ledger: Arc<LedgerCell>,
    pub(super) path: Arc<CommitPath<S, T>>,
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
        let committer = commit_actor::spawn(CommitActor::new(store, limits, clock));
        let path = CommitPath::new(identity.member, clock, limits, transport, committer, rng);
        let path = Arc::new(path);
        let ledger = Arc::new(LedgerCell::new(limits, sender));
        tokio::spawn(row_upkeep::run(path.clone(), receiver));
        let shared = ServiceShared {
            identity,
            ledger,
            path,
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Replaces the live members that may commit the claims of a service.
    pub fn set_members(&self, service: ServiceName, members: Vec<RingMember>) {
        self.shared.path.ring().set_members(service, members);
    }

    /// Shares the transactions of the table service out over the services that claim.
    pub async fn share_commits(&self, services: usize) {
        let services = u32::try_from(services.max(1)).unwrap_or(u32::MAX);
        let rate = (SHARED_COMMITS_PER_S / services).clamp(1, MAX_COMMITS_PER_S);
        self.shared.path.set_commit_rate(rate).await;
    }

    /// Decides a non-idempotent call before it is dispatched.
    ///
    /// Returns by the deadline of the call, except that a joined call is waited for by the caller
    /// of this. Dropping the future releases the claim.
    pub async fn begin(&self, request: ClaimRequest) -> ClaimVerdict {
        let verdict = self.decide(request).await;
        counter!("banyantrestle_claims_total", "verdict" => verdict.label()).increment(1);
        verdict
    }

    /// Records the whole answer of a dispatched call.
    pub fn complete(&self, claim: RunningClaim, answer: RecordedAnswer) {
        if let Some(claim) = claim.take() {
            let limit = self.shared.path.limits.row_answer_bytes;
            claim.complete(answer, limit);
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
    pub async fn serve_commit(&self, request: CommitRequest) -> CommitAnswer {
        let is_valid = request.rows.len() <= MAX_REQUEST_ROWS
            && request
                .rows
                .iter()
                .all(|row| row.is_valid(&request.service));
        if !is_valid {
            return CommitAnswer {
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
            .path
            .enqueue(&request.service, request.rows)
            .await;
        let mut results = Vec::with_capacity(ids.len());
        for (write_id, receiver) in ids.into_iter().zip(receivers) {
            let outcome = receiver.await.unwrap_or(RowOutcome::Lost);
            results.push(ClaimRowResult { write_id, outcome });
        }
        CommitAnswer { results }
    }

    /// Tells another daemon what became of a call that was claimed here.
    pub async fn serve_answer(&self, request: AnswerRequest) -> HolderAnswer {
        if request.holder != self.shared.identity.member {
            return HolderAnswer::Unknown(UnknownReason::HolderGone);
        }
        let wait = Duration::from_millis(request.wait_ms).min(MAX_HOLDER_WAIT);
        let shared = &self.shared;
        shared
            .own_answer(&request.key, &request.write_id, wait)
            .await
    }

    /// Waits until the rows of ended calls are written, `limit` at most; true if all are.
    ///
    /// To be called in a graceful shutdown, after the last call.
    pub async fn drain(&self, limit: Duration) -> bool {
        timeout(limit, self.shared.ledger.kept_up()).await.is_ok()
    }

    /// Deletes expired rows and forgets expired calls in the background.
    pub fn start_sweep(&self, store: S, timers: &TimerService) {
        let sweep = SweepActor::new(store, Arc::downgrade(&self.shared));
        let address = xtra::spawn_tokio(sweep, Mailbox::bounded(1));
        timers.subscribe(SWEEP_PERIOD, address);
    }

    /// Calls that are being claimed or run here.
    #[must_use]
    pub fn open_calls(&self) -> usize {
        self.shared.ledger.lock().open_calls()
    }

    async fn decide(&self, request: ClaimRequest) -> ClaimVerdict {
        let path = &self.shared.path;
        let now = path.clock.now();
        let write_id = WriteId::draw(self.shared.identity.member, &mut *path.rng());
        let opening = ClaimOpening {
            key: request.key.clone(),
            fingerprint: request.fingerprint,
            write_id: write_id.clone(),
            expires: now + request.window,
        };
        let verdict = self.shared.ledger.lock().open(opening);
        match verdict {
            LedgerVerdict::Opened(entry) => self.claim(entry, write_id, request).await,
            LedgerVerdict::Open(entry) => self.join(entry),
            LedgerVerdict::Replay(answer) => ClaimVerdict::Replay(answer),
            LedgerVerdict::Unknown(reason) => ClaimVerdict::Unknown(reason),
            LedgerVerdict::Mismatch => ClaimVerdict::Mismatch,
            LedgerVerdict::Full => ClaimVerdict::Unavailable {
                retry_after: FULL_RETRY,
            },
        }
    }

    fn join(&self, entry: EntryKey) -> ClaimVerdict {
        match self.shared.ledger.join(entry) {
            Some(joined) => ClaimVerdict::Joined(joined),
            None => ClaimVerdict::Unknown(UnknownReason::TooManyRepeats),
        }
    }

    /// Claims the key in a task of its own, so that a caller that goes away leaves no entry open.
    async fn claim(
        &self,
        entry: EntryKey,
        write_id: WriteId,
        request: ClaimRequest,
    ) -> ClaimVerdict {
        let shared = &self.shared;
        let now = shared.path.clock.now();
        let passed = shared.path.gate().pass(now);
        if let Err(retry_after) = passed {
            shared.ledger.abandon(entry, None);
            return ClaimVerdict::Unavailable { retry_after };
        }
        let (verdicts, verdict) = oneshot::channel();
        let driver = ClaimDriver::new(shared.clone(), entry, write_id, request);
        tokio::spawn(driver.run(verdicts));
        let failed = ClaimVerdict::Unknown(UnknownReason::RunFailed);
        verdict.await.unwrap_or(failed)
    }
}

impl<S, T> Clone for ClaimService<S, T> {
    fn clone(&self) -> Self {
        Self {
            shared: self.shared.clone(),
        }
    }
}

impl<S: TableStore, T: ClaimTransport> ServiceShared<S, T> {
    /// What became of an attempt that was made here, after waiting for its end.
    pub(super) async fn own_answer(
        &self,
        key: &ClaimKey,
        write_id: &WriteId,
        wait: Duration,
    ) -> HolderAnswer {
        let record = self.ledger.lock().attempt(key, write_id);
        match record {
            AttemptRecord::Answered(answer) => HolderAnswer::Answered(answer),
            AttemptRecord::Abandoned => HolderAnswer::Abandoned,
            AttemptRecord::Unknown(reason) => HolderAnswer::Unknown(reason),
            AttemptRecord::Open(entry) => self.await_end(entry, wait).await,
        }
    }

    async fn await_end(&self, entry: EntryKey, wait: Duration) -> HolderAnswer {
        let Some(joined) = self.ledger.join(entry) else {
            return HolderAnswer::Running;
        };
        match timeout(wait, joined.outcome()).await {
            Ok(JoinedOutcome::Answered(answer)) => HolderAnswer::Answered(answer),
            Ok(JoinedOutcome::Unknown(reason)) => HolderAnswer::Unknown(reason),
            // Both are told only once the attempt was given up.
            Ok(JoinedOutcome::NotRun { .. } | JoinedOutcome::Mismatch) => HolderAnswer::Abandoned,
            Err(_) => HolderAnswer::Running,
        }
    }
}
