use {
    super::{
        AnswerRequest, AttemptOutcome, AttemptStep, ClaimAttempt, ClaimRecord, ClaimRequest,
        ClaimToken, ClaimTransport, ClaimVerdict, EntryKey, HeldClaim, HolderAnswer, JoinedOutcome,
        TransportError, WriteId, claim_service::ServiceShared, claim_token::OpenClaim,
        ledger_cell::ReleasedClaim,
    },
    crate::{membership::MemberId, platform::TableStore},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::time::{sleep, timeout},
};

/// Part of the remaining time for which the holder may wait before it must answer, in %.
const HOLDER_WAIT_PERCENT: u32 = 90;

/// Carries out one attempt: commits its row, asks holders, and tells the ledger the end.
pub(super) struct ClaimDriver<S, T> {
    shared: Arc<ServiceShared<S, T>>,
    entry: EntryKey,
    write_id: WriteId,
    request: ClaimRequest,
}

impl<S: TableStore, T: ClaimTransport> ClaimDriver<S, T> {
    pub(super) fn new(
        shared: Arc<ServiceShared<S, T>>,
        entry: EntryKey,
        write_id: WriteId,
        request: ClaimRequest,
    ) -> Self {
        Self {
            shared,
            entry,
            write_id,
            request,
        }
    }

    pub(super) async fn run(self) -> ClaimVerdict {
        let mut attempt = self.attempt();
        let outcome = self.settle(&mut attempt).await;
        self.finish(outcome, attempt.is_maybe_applied())
    }

    fn attempt(&self) -> ClaimAttempt {
        let identity = self.shared.identity;
        let request = &self.request;
        let record = ClaimRecord {
            holder: identity.member,
            holder_mesh: identity.mesh,
            fingerprint: request.fingerprint,
            request: request.request,
            created_ms: self.shared.path.clock.wall_ms(),
            window_s: request.window.as_secs(),
        };
        ClaimAttempt::new(
            request.key.row_key(),
            self.write_id.clone(),
            record.to_text(),
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
                AttemptStep::AskHolder { held, mesh, holder } => {
                    let answer = self.ask(held, mesh, holder, remaining).await;
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

    async fn ask(
        &self,
        held: HeldClaim,
        mesh: SocketAddr,
        holder: MemberId,
        remaining: Duration,
    ) -> Result<HolderAnswer, TransportError> {
        let wait = remaining * HOLDER_WAIT_PERCENT / 100;
        let key = &self.request.key;
        if holder == self.shared.identity.member {
            return Ok(self.shared.own_answer(key, &held.write_id, wait).await);
        }
        let request = AnswerRequest {
            key: key.clone(),
            write_id: held.write_id,
            holder,
            wait_ms: u64::try_from(wait.as_millis()).unwrap_or(u64::MAX),
        };
        let answer = self.shared.path.transport.answer_at(mesh, request);
        let lost = |_| TransportError::Lost(format!("no answer for {remaining:?}"));
        timeout(remaining, answer).await.map_err(lost)?
    }

    fn finish(self, outcome: AttemptOutcome, is_maybe_applied: bool) -> ClaimVerdict {
        match outcome {
            AttemptOutcome::Won => self.won(),
            AttemptOutcome::Replay(answer) => {
                self.abandon(is_maybe_applied, &JoinedOutcome::Answered(answer.clone()));
                ClaimVerdict::Replay(answer)
            }
            AttemptOutcome::Unknown(reason) => {
                self.abandon(is_maybe_applied, &JoinedOutcome::Unknown(reason));
                ClaimVerdict::Unknown(reason)
            }
            AttemptOutcome::Mismatch => {
                self.abandon(is_maybe_applied, &JoinedOutcome::Mismatch);
                ClaimVerdict::Mismatch
            }
            AttemptOutcome::Unavailable => self.unavailable(is_maybe_applied),
        }
    }

    fn won(self) -> ClaimVerdict {
        let ledger = &self.shared.ledger;
        let is_won = ledger.lock().win(self.entry);
        if !is_won {
            return self.unavailable(true);
        }
        ClaimVerdict::Won(ClaimToken::new(OpenClaim {
            ledger: ledger.clone(),
            entry: self.entry,
            key: self.request.key,
            write_id: self.write_id,
            deadline: self.request.deadline,
        }))
    }

    fn unavailable(&self, is_maybe_applied: bool) -> ClaimVerdict {
        let path = &self.shared.path;
        let retry_after = path.gate().retry_after(path.clock.now());
        self.abandon(is_maybe_applied, &JoinedOutcome::NotRun { retry_after });
        ClaimVerdict::Unavailable { retry_after }
    }

    fn abandon(&self, is_maybe_applied: bool, outcome: &JoinedOutcome) {
        let released = is_maybe_applied.then(|| ReleasedClaim {
            key: self.request.key.clone(),
            write_id: self.write_id.clone(),
        });
        self.shared
            .ledger
            .abandon_with(self.entry, released, outcome);
    }
}
