use {
    super::{
        BatcherMember, BatcherRanking, ClaimLimits, ClaimRow, ClaimTransport, CommitLocation,
        CommitRequest, QueuedRow, RowOutcome, TableBreaker, TransportError,
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

/// Minimum wait after which a missing reply counts as a failure of the batcher.
const MIN_DECISIVE_TIMEOUT: Duration = Duration::from_millis(250);

/// Commits rows through another daemon as batcher, or through the commit actor of this daemon.
pub(super) struct RowCommitter<S, T> {
    pub(super) member: MemberId,
    pub(super) clock: ProcessClock,
    pub(super) limits: ClaimLimits,
    pub(super) transport: T,
    actor: Address<CommitActor<S>>,
    ranking: Mutex<BatcherRanking>,
    breaker: Mutex<TableBreaker>,
    rng: Mutex<StdRng>,
}

impl<S: TableStore, T: ClaimTransport> RowCommitter<S, T> {
    pub(super) fn new(
        member: MemberId,
        clock: ProcessClock,
        limits: ClaimLimits,
        transport: T,
        actor: Address<CommitActor<S>>,
        rng: StdRng,
    ) -> Self {
        Self {
            member,
            clock,
            limits,
            transport,
            actor,
            ranking: Mutex::default(),
            breaker: Mutex::default(),
            rng: Mutex::new(rng),
        }
    }

    pub(super) fn ranking(&self) -> MutexGuard<'_, BatcherRanking> {
        self.ranking.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn breaker(&self) -> MutexGuard<'_, TableBreaker> {
        self.breaker.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn rng(&self) -> MutexGuard<'_, StdRng> {
        self.rng.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Batchers to try, in order. The list ends before this daemon, which commits the row itself if
    /// they fail.
    pub(super) fn batchers(&self, service: &ServiceName) -> Vec<BatcherMember> {
        let now = self.clock.now();
        let ranking = self.ranking();
        ranking
            .candidates(service, now, self.limits.batcher_cooldown)
            .take(MAX_BATCHERS)
            .take_while(|member| member.id != self.member)
            .copied()
            .collect()
    }

    /// Commits one row; `limit` bounds the wait for another daemon.
    pub(super) async fn commit(
        &self,
        location: CommitLocation,
        service: &ServiceName,
        row: ClaimRow,
        limit: Duration,
    ) -> Result<RowOutcome, TransportError> {
        let outcome = match location {
            CommitLocation::Local => self.commit_locally(service, row, limit).await?,
            CommitLocation::Remote(member) => self.send_commit(member, service, row, limit).await?,
        };
        self.record_outcome(&outcome);
        Ok(outcome)
    }

    /// Sets the sustained rate of the transactions of one service, in 1/s.
    pub(super) async fn set_commit_rate(&self, rate: u32) {
        // A stopped actor commits nothing any more.
        let _ = self.actor.send(SetCommitRate(rate)).await;
    }

    /// Queues rows at the commit actor of this daemon. Returns one receiver per row.
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
        // If the actor has stopped, the receivers are closed and the rows get no outcome.
        let _ = self.actor.send(message).await;
        receivers
    }

    async fn commit_locally(
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
        outcome
            .ok_or_else(|| TransportError::NoReply(format!("row not committed within {limit:?}")))
    }

    async fn send_commit(
        &self,
        member: BatcherMember,
        service: &ServiceName,
        row: ClaimRow,
        limit: Duration,
    ) -> Result<RowOutcome, TransportError> {
        let write_id = row.write_id.clone();
        let request = CommitRequest {
            service: service.clone(),
            rows: vec![row],
        };
        // If this batcher does not reply, half of the time is left to commit the row elsewhere.
        let max_wait = (limit / 2).min(self.limits.batcher_timeout);
        let reply = timeout(max_wait, self.transport.send_commit(member.mesh, request)).await;
        let no_reply =
            || TransportError::NoReply(format!("no reply from the batcher within {max_wait:?}"));
        match reply.unwrap_or_else(|_| Err(no_reply())) {
            Ok(reply) => {
                self.ranking().mark_reachable(member.id);
                let result = reply.results.into_iter().next();
                // A result of another write does not give the outcome of this one.
                result
                    .filter(|result| result.write_id == write_id)
                    .map(|result| result.outcome)
                    .ok_or_else(no_reply)
            }
            Err(error) => {
                if max_wait >= MIN_DECISIVE_TIMEOUT {
                    let now = self.clock.now();
                    self.ranking().mark_unreachable(member.id, now);
                }
                Err(error)
            }
        }
    }

    /// Reports the state of the table service to the breaker.
    fn record_outcome(&self, outcome: &RowOutcome) {
        match outcome {
            RowOutcome::Applied | RowOutcome::Held(_) | RowOutcome::Vacant => {
                self.breaker().on_success();
            }
            RowOutcome::Refused | RowOutcome::Unknown => {
                let now = self.clock.now();
                let mut rng = self.rng();
                self.breaker().on_failure(now, &mut *rng);
            }
            RowOutcome::Full => {}
        }
    }
}
