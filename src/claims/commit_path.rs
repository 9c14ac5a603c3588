use {
    super::{
        BatcherRing, ClaimLimits, ClaimRow, ClaimTransport, CommitPlace, CommitRequest, OutageGate,
        QueuedRow, RingMember, RowOutcome, TransportError,
        claim_attempt::MAX_BATCHERS,
        commit_actor::{CommitActor, CommitRows, SetCommitRate},
    },
    crate::{context::ServiceName, membership::MemberId, table::TableStore, time::ProcessClock},
    rand::rngs::StdRng,
    std::{
        sync::{Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::{sync::oneshot, time::timeout},
    xtra::Address,
};

/// Shortest wait for a batcher whose end speaks against the batcher.
const MIN_PATIENCE: Duration = Duration::from_millis(250);

/// The ways by which one daemon gets a row committed.
pub(super) struct CommitPath<S, T> {
    pub(super) member: MemberId,
    pub(super) clock: ProcessClock,
    pub(super) limits: ClaimLimits,
    pub(super) transport: T,
    committer: Address<CommitActor<S>>,
    ring: Mutex<BatcherRing>,
    gate: Mutex<OutageGate>,
    rng: Mutex<StdRng>,
}

impl<S: TableStore, T: ClaimTransport> CommitPath<S, T> {
    pub(super) fn new(
        member: MemberId,
        clock: ProcessClock,
        limits: ClaimLimits,
        transport: T,
        committer: Address<CommitActor<S>>,
        rng: StdRng,
    ) -> Self {
        Self {
            member,
            clock,
            limits,
            transport,
            committer,
            ring: Mutex::default(),
            gate: Mutex::default(),
            rng: Mutex::new(rng),
        }
    }

    pub(super) fn ring(&self) -> MutexGuard<'_, BatcherRing> {
        self.ring.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn gate(&self) -> MutexGuard<'_, OutageGate> {
        self.gate.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn rng(&self) -> MutexGuard<'_, StdRng> {
        self.rng.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Batchers to ask, up to this daemon itself, which comes after any other that fails.
    pub(super) fn batchers(&self, service: &ServiceName) -> Vec<RingMember> {
        let now = self.clock.now();
        let ring = self.ring();
        ring.candidates(service, now, self.limits.batcher_rest)
            .take(MAX_BATCHERS)
            .take_while(|member| member.id != self.member)
            .copied()
            .collect()
    }

    /// Commits one row; `limit` bounds the wait for another daemon.
    pub(super) async fn commit(
        &self,
        place: CommitPlace,
        service: &ServiceName,
        row: ClaimRow,
        limit: Duration,
    ) -> Result<RowOutcome, TransportError> {
        let outcome = match place {
            CommitPlace::Here => self.commit_here(service, row, limit).await?,
            CommitPlace::At(member) => self.commit_at(member, service, row, limit).await?,
        };
        self.note(&outcome);
        Ok(outcome)
    }

    /// Sets the sustained rate of the transactions of one service, in 1/s.
    pub(super) async fn set_commit_rate(&self, rate: u32) {
        // A stopped actor commits no more.
        let _ = self.committer.send(SetCommitRate(rate)).await;
    }

    /// Hands rows to the batcher of this daemon; one receiver a row.
    pub(super) async fn enqueue(
        &self,
        service: &ServiceName,
        rows: Vec<ClaimRow>,
    ) -> Vec<oneshot::Receiver<RowOutcome>> {
        let mut receivers = Vec::with_capacity(rows.len());
        let mut queued = Vec::with_capacity(rows.len());
        for row in rows {
            let (reply, receiver) = oneshot::channel();
            queued.push(QueuedRow { row, reply });
            receivers.push(receiver);
        }
        let message = CommitRows {
            service: service.clone(),
            rows: queued,
        };
        // If the actor has stopped, the receivers end and the rows are told as lost.
        let _ = self.committer.send(message).await;
        receivers
    }

    async fn commit_here(
        &self,
        service: &ServiceName,
        row: ClaimRow,
        limit: Duration,
    ) -> Result<RowOutcome, TransportError> {
        let outcome = async {
            let receiver = self.enqueue(service, vec![row]).await.pop()?;
            receiver.await.ok()
        };
        let outcome = timeout(limit, outcome).await.ok().flatten();
        outcome.ok_or_else(|| TransportError::Lost(format!("not committed for {limit:?}")))
    }

    async fn commit_at(
        &self,
        member: RingMember,
        service: &ServiceName,
        row: ClaimRow,
        limit: Duration,
    ) -> Result<RowOutcome, TransportError> {
        let write_id = row.write_id.clone();
        let request = CommitRequest {
            service: service.clone(),
            rows: vec![row],
        };
        let patience = (limit / 2).min(self.limits.batcher_patience);
        let answer = timeout(patience, self.transport.commit_at(member.mesh, request)).await;
        let lost = || TransportError::Lost(format!("no answer for {patience:?}"));
        match answer.unwrap_or_else(|_| Err(lost())) {
            Ok(answer) => {
                self.ring().mark_answered(member.id);
                let result = answer.results.into_iter().next();
                // A result of another write says nothing of this one.
                result
                    .filter(|result| result.write_id == write_id)
                    .map(|result| result.outcome)
                    .ok_or_else(lost)
            }
            Err(error) => {
                if patience >= MIN_PATIENCE {
                    let now = self.clock.now();
                    self.ring().mark_failed(member.id, now);
                }
                Err(error)
            }
        }
    }

    fn note(&self, outcome: &RowOutcome) {
        match outcome {
            RowOutcome::Applied | RowOutcome::Held(_) | RowOutcome::Vacant => {
                self.gate().on_success();
            }
            RowOutcome::Refused | RowOutcome::Lost => {
                let now = self.clock.now();
                let mut rng = self.rng();
                self.gate().on_failure(now, &mut *rng);
            }
            RowOutcome::Full => {}
        }
    }
}
