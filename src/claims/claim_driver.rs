use {
    super::{
        AttemptOutcome, AttemptStep, ClaimAttempt, ClaimDecision, ClaimRecord, ClaimRequest,
        ClaimToken, ClaimTransport, EntryKey, HeldClaim, HolderQuery, HolderReply, JoinedOutcome,
        TransportError, UnknownCause, WriteId, claim_service::ServiceState,
        claim_token::ClaimInProgress, row_update::RowUpdate,
    },
    crate::table::TableStore,
    std::{sync::Arc, time::Duration},
    tokio::{
        sync::oneshot,
        time::{sleep, timeout},
    },
};

/// Share of the remaining time for which the holder may wait before it must reply, in %.
const HOLDER_WAIT_PERCENT: u32 = 90;

/// Runs one attempt: commits its row, queries the holders of conflicting claims, and updates the
/// ledger at the end.
pub(super) struct ClaimDriver<S, T> {
    shared: Arc<ServiceState<S, T>>,
    entry: EntryKey,
    write_id: WriteId,
    request: ClaimRequest,
    record: ClaimRecord,
}

impl<S: TableStore, T: ClaimTransport> ClaimDriver<S, T> {
    pub(super) fn new(
        shared: Arc<ServiceState<S, T>>,
        entry: EntryKey,
        write_id: WriteId,
        request: ClaimRequest,
    ) -> Self {
        let identity = shared.identity;
        let record = ClaimRecord {
            holder: identity.member,
            holder_mesh: identity.mesh,
            fingerprint: request.fingerprint,
            request: request.request,
            created_ms: shared.committer.clock.wall_ms(),
            window_s: request.window.as_secs(),
            response: None,
        };
        Self {
            shared,
            entry,
            write_id,
            request,
            record,
        }
    }

    /// Runs the attempt and sends the decision. If another daemon runs the call, also waits for its
    /// outcome.
    pub(super) async fn run(self, decision_sender: oneshot::Sender<ClaimDecision>) {
        let mut attempt = self.attempt();
        let outcome = self.settle(&mut attempt).await;
        let may_be_applied = attempt.may_be_applied();
        let decision = match outcome {
            AttemptOutcome::RunsElsewhere(held) => {
                let Some(joined) = self.shared.ledger.join(self.entry) else {
                    let outcome = AttemptOutcome::Unknown(UnknownCause::TooManyWaiters);
                    let _ = decision_sender.send(self.finish(outcome, may_be_applied));
                    return;
                };
                // The caller now waits like any other retry of the call.
                let _ = decision_sender.send(ClaimDecision::Joined(joined));
                let outcome = self.await_holder(held).await;
                self.finish(outcome, may_be_applied);
                return;
            }
            outcome => self.finish(outcome, may_be_applied),
        };
        // If the receiver was dropped, so is the decision, which releases the claim.
        let _ = decision_sender.send(decision);
    }

    fn attempt(&self) -> ClaimAttempt {
        let request = &self.request;
        ClaimAttempt::new(
            request.key.row_key(),
            self.write_id.clone(),
            self.record.to_text(),
            request.fingerprint,
            request.deadline,
            self.shared.committer.batchers(&request.key.service),
        )
    }

    /// Executes the steps of the attempt up to its outcome.
    async fn settle(&self, attempt: &mut ClaimAttempt) -> AttemptOutcome {
        let committer = &self.shared.committer;
        let service = &self.request.key.service;
        loop {
            let now = committer.clock.now();
            let remaining = now.until(self.request.deadline);
            match attempt.step(now) {
                AttemptStep::Commit { location, row } => {
                    match committer.commit(location, service, row, remaining).await {
                        Ok(outcome) => attempt.on_outcome(outcome),
                        Err(error) => attempt.on_commit_failed(&error),
                    }
                }
                AttemptStep::QueryHolder(held) => {
                    let max_wait = remaining.min(committer.limits.batcher_timeout);
                    let reply = self.query_holder(&held, Duration::ZERO, max_wait).await;
                    attempt.on_holder(reply);
                }
                AttemptStep::Pause(pause) if committer.breaker().is_open(now + pause) => {
                    attempt.end_unsettled();
                }
                AttemptStep::Pause(pause) => {
                    sleep(pause).await;
                    attempt.on_pause();
                }
                AttemptStep::Done(outcome) => return outcome,
            }
        }
    }

    /// Waits until a call that another daemon runs has ended.
    async fn await_holder(&self, held: HeldClaim) -> AttemptOutcome {
        let now = self.shared.committer.clock.now();
        let remaining = now.until(self.request.deadline);
        let wait = remaining * HOLDER_WAIT_PERCENT / 100;
        match self.query_holder(&held, wait, remaining).await {
            Ok(HolderReply::Completed(response)) => AttemptOutcome::Replay(response),
            Ok(HolderReply::Running) => AttemptOutcome::Unknown(UnknownCause::StillRunning),
            Ok(HolderReply::Unknown(cause)) => AttemptOutcome::Unknown(cause),
            // The next retry replaces the claim.
            Ok(HolderReply::Abandoned) => AttemptOutcome::Unavailable,
            Err(_) => AttemptOutcome::Unknown(UnknownCause::HolderGone),
        }
    }

    /// Queries the holder of a claim for the result of the call. The holder may delay its reply by up
    /// to `wait`; the query fails after `limit`.
    async fn query_holder(
        &self,
        held: &HeldClaim,
        wait: Duration,
        limit: Duration,
    ) -> Result<HolderReply, TransportError> {
        let Some(record) = &held.record else {
            return Ok(HolderReply::Unknown(UnknownCause::UnreadableClaim));
        };
        let key = &self.request.key;
        if record.holder == self.shared.identity.member {
            return Ok(self.shared.local_reply(key, &held.write_id, wait).await);
        }
        let request = HolderQuery {
            key: key.clone(),
            write_id: held.write_id.clone(),
            holder: record.holder,
            wait_ms: u64::try_from(wait.as_millis()).unwrap_or(u64::MAX),
        };
        let transport = &self.shared.committer.transport;
        let reply = transport.query_holder(record.holder_mesh, request);
        let no_reply =
            |_| TransportError::NoReply(format!("no reply from the holder within {limit:?}"));
        timeout(limit, reply).await.map_err(no_reply)?
    }

    /// Turns the outcome into a decision, and abandons the entry unless the claim was won.
    fn finish(&self, outcome: AttemptOutcome, may_be_applied: bool) -> ClaimDecision {
        match outcome {
            AttemptOutcome::Won => self.won(),
            AttemptOutcome::Replay(response) => {
                self.abandon(may_be_applied, &JoinedOutcome::Completed(response.clone()));
                ClaimDecision::Replay(response)
            }
            AttemptOutcome::RunsElsewhere(_) => {
                self.unknown(UnknownCause::StillRunning, may_be_applied)
            }
            AttemptOutcome::Unknown(cause) => self.unknown(cause, may_be_applied),
            AttemptOutcome::Mismatch => {
                self.abandon(may_be_applied, &JoinedOutcome::Mismatch);
                ClaimDecision::Mismatch
            }
            AttemptOutcome::Unavailable => self.unavailable(may_be_applied),
        }
    }

    fn won(&self) -> ClaimDecision {
        let ledger = &self.shared.ledger;
        let is_won = ledger.lock().mark_won(self.entry);
        if !is_won {
            return self.unavailable(true);
        }
        ClaimDecision::Won(ClaimToken::new(ClaimInProgress {
            ledger: ledger.clone(),
            entry: self.entry,
            key: self.request.key.clone(),
            write_id: self.write_id.clone(),
            deadline: self.request.deadline,
            record: self.record.clone(),
        }))
    }

    fn unknown(&self, cause: UnknownCause, may_be_applied: bool) -> ClaimDecision {
        self.abandon(may_be_applied, &JoinedOutcome::Unknown(cause));
        ClaimDecision::Unknown(cause)
    }

    fn unavailable(&self, may_be_applied: bool) -> ClaimDecision {
        let committer = &self.shared.committer;
        let retry_after = committer.breaker().retry_after(committer.clock.now());
        self.abandon(may_be_applied, &JoinedOutcome::NotRun { retry_after });
        ClaimDecision::Unavailable { retry_after }
    }

    fn abandon(&self, may_be_applied: bool, outcome: &JoinedOutcome) {
        let released = may_be_applied.then(|| RowUpdate::Release {
            key: self.request.key.clone(),
            write_id: self.write_id.clone(),
        });
        self.shared
            .ledger
            .abandon_with(self.entry, released, outcome);
    }
}
