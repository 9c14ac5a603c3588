use {
    super::{
        AnswerRequest, AttemptOutcome, AttemptStep, ClaimAttempt, ClaimRecord, ClaimRequest,
        ClaimToken, ClaimTransport, ClaimVerdict, EntryKey, HeldClaim, HolderAnswer, JoinedOutcome,
        TransportError, UnknownReason, WriteId, claim_service::ServiceShared,
        claim_token::OpenClaim, row_upkeep::RowUpkeep,
    },
    crate::table::TableStore,
    std::{sync::Arc, time::Duration},
    tokio::{
        sync::oneshot,
        time::{sleep, timeout},
    },
};

/// Part of the remaining time for which the holder may wait before it must answer, in %.
const HOLDER_WAIT_PERCENT: u32 = 90;

/// Carries out one attempt: commits its row, asks holders, and tells the ledger the end.
pub(super) struct ClaimDriver<S, T> {
    shared: Arc<ServiceShared<S, T>>,
    entry: EntryKey,
    write_id: WriteId,
    request: ClaimRequest,
    record: ClaimRecord,
}

impl<S: TableStore, T: ClaimTransport> ClaimDriver<S, T> {
    pub(super) fn new(
        shared: Arc<ServiceShared<S, T>>,
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
            created_ms: shared.path.clock.wall_ms(),
            window_s: request.window.as_secs(),
            answer: None,
        };
        Self {
            shared,
            entry,
            write_id,
            request,
            record,
        }
    }

    /// Sends the verdict; a call that runs elsewhere is then waited for.
    pub(super) async fn run(self, verdicts: oneshot::Sender<ClaimVerdict>) {
        let mut attempt = self.attempt();
        let outcome = self.settle(&mut attempt).await;
        let is_maybe_applied = attempt.is_maybe_applied();
        let verdict = match outcome {
            AttemptOutcome::RunsElsewhere(held) => {
                let Some(joined) = self.shared.ledger.join(self.entry) else {
                    let outcome = AttemptOutcome::Unknown(UnknownReason::TooManyRepeats);
                    let _ = verdicts.send(self.finish(outcome, is_maybe_applied));
                    return;
                };
                // From here on the caller waits as any other repeat does.
                let _ = verdicts.send(ClaimVerdict::Joined(joined));
                let outcome = self.await_holder(held).await;
                self.finish(outcome, is_maybe_applied);
                return;
            }
            outcome => self.finish(outcome, is_maybe_applied),
        };
        // A claim that nobody takes is released as it is dropped.
        let _ = verdicts.send(verdict);
    }

    fn attempt(&self) -> ClaimAttempt {
        let request = &self.request;
        ClaimAttempt::new(
            request.key.row_key(),
            self.write_id.clone(),
            self.record.to_text(),
            request.fingerprint,
            request.deadline,
            self.shared.path.batchers(&request.key.service),
        )
    }

    async fn settle(&self, attempt: &mut ClaimAttempt) -> AttemptOutcome {
        let path = &self.shared.path;
        let service = &self.request.key.service;
        loop {
            let now = path.clock.now();
            let remaining = now.until(self.request.deadline);
            match attempt.step(now) {
                AttemptStep::Commit { place, row } => {
                    match path.commit(place, service, row, remaining).await {
                        Ok(outcome) => attempt.on_outcome(outcome),
                        Err(error) => attempt.on_commit_failed(&error),
                    }
                }
                AttemptStep::AskHolder(held) => {
                    let patience = remaining.min(path.limits.batcher_patience);
                    let answer = self.ask(&held, Duration::ZERO, patience).await;
                    attempt.on_holder(answer);
                }
                AttemptStep::Pause(pause) if path.gate().is_closed(now + pause) => {
                    attempt.give_up();
                }
                AttemptStep::Pause(pause) => {
                    sleep(pause).await;
                    attempt.on_pause();
                }
                AttemptStep::Done(outcome) => return outcome,
            }
        }
    }

    /// Waits for the end of a call that another daemon runs.
    async fn await_holder(&self, held: HeldClaim) -> AttemptOutcome {
        let now = self.shared.path.clock.now();
        let remaining = now.until(self.request.deadline);
        let wait = remaining * HOLDER_WAIT_PERCENT / 100;
        match self.ask(&held, wait, remaining).await {
            Ok(HolderAnswer::Answered(answer)) => AttemptOutcome::Replay(answer),
            Ok(HolderAnswer::Running) => AttemptOutcome::Unknown(UnknownReason::StillRunning),
            Ok(HolderAnswer::Unknown(reason)) => AttemptOutcome::Unknown(reason),
            // The next repeat replaces the claim.
            Ok(HolderAnswer::Abandoned) => AttemptOutcome::Unavailable,
            Err(_) => AttemptOutcome::Unknown(UnknownReason::HolderGone),
        }
    }

    /// Asks the holder of a claim, which may wait for the end of the call.
    async fn ask(
        &self,
        held: &HeldClaim,
        wait: Duration,
        limit: Duration,
    ) -> Result<HolderAnswer, TransportError> {
        let Some(record) = &held.record else {
            return Ok(HolderAnswer::Unknown(UnknownReason::UnreadableClaim));
        };
        let key = &self.request.key;
        if record.holder == self.shared.identity.member {
            return Ok(self.shared.own_answer(key, &held.write_id, wait).await);
        }
        let request = AnswerRequest {
            key: key.clone(),
            write_id: held.write_id.clone(),
            holder: record.holder,
            wait_ms: u64::try_from(wait.as_millis()).unwrap_or(u64::MAX),
        };
        let transport = &self.shared.path.transport;
        let answer = transport.answer_at(record.holder_mesh, request);
        let lost = |_| TransportError::Lost(format!("no answer for {limit:?}"));
        timeout(limit, answer).await.map_err(lost)?
    }

    fn finish(&self, outcome: AttemptOutcome, is_maybe_applied: bool) -> ClaimVerdict {
        match outcome {
            AttemptOutcome::Won => self.won(),
            AttemptOutcome::Replay(answer) => {
                self.abandon(is_maybe_applied, &JoinedOutcome::Answered(answer.clone()));
                ClaimVerdict::Replay(answer)
            }
            AttemptOutcome::RunsElsewhere(_) => {
                self.unknown(UnknownReason::StillRunning, is_maybe_applied)
            }
            AttemptOutcome::Unknown(reason) => self.unknown(reason, is_maybe_applied),
            AttemptOutcome::Mismatch => {
                self.abandon(is_maybe_applied, &JoinedOutcome::Mismatch);
                ClaimVerdict::Mismatch
            }
            AttemptOutcome::Unavailable => self.unavailable(is_maybe_applied),
        }
    }

    fn won(&self) -> ClaimVerdict {
        let ledger = &self.shared.ledger;
        let is_won = ledger.lock().win(self.entry);
        if !is_won {
            return self.unavailable(true);
        }
        ClaimVerdict::Won(ClaimToken::new(OpenClaim {
            ledger: ledger.clone(),
            entry: self.entry,
            key: self.request.key.clone(),
            write_id: self.write_id.clone(),
            deadline: self.request.deadline,
            record: self.record.clone(),
        }))
    }

    fn unknown(&self, reason: UnknownReason, is_maybe_applied: bool) -> ClaimVerdict {
        self.abandon(is_maybe_applied, &JoinedOutcome::Unknown(reason));
        ClaimVerdict::Unknown(reason)
    }

    fn unavailable(&self, is_maybe_applied: bool) -> ClaimVerdict {
        let path = &self.shared.path;
        let retry_after = path.gate().retry_after(path.clock.now());
        self.abandon(is_maybe_applied, &JoinedOutcome::NotRun { retry_after });
        ClaimVerdict::Unavailable { retry_after }
    }

    fn abandon(&self, is_maybe_applied: bool, outcome: &JoinedOutcome) {
        let released = is_maybe_applied.then(|| RowUpkeep::Release {
            key: self.request.key.clone(),
            write_id: self.write_id.clone(),
        });
        self.shared
            .ledger
            .abandon_with(self.entry, released, outcome);
    }
}
