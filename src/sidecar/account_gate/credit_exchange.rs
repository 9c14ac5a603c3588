use {
    super::{
        super::{
            PlatformAdapter, attempt_report::RelayBody, mesh_question::MeshQuestion,
            request_log::LineCategory, sidecar_state::SidecarState,
        },
        QuotaRefusal,
    },
    crate::{
        accounts::{AccountRule, CreditGrant, CreditStep},
        error::ProcessStep,
        time::TimePoint,
    },
    http::Response,
    hyper::body::Incoming,
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::time::{sleep, timeout},
};

/// Path at which sidecars request credits from quota owners.
pub(crate) const CREDITS_PATH: &str = "/bt/credits";

/// Maximum size of a message, in bytes.
const MAX_MESSAGE_BYTES: usize = 4 * 1024;
const CREDIT_QUESTION: MeshQuestion = MeshQuestion {
    step: ProcessStep::RequestCredits,
    path: CREDITS_PATH,
    time_limit: Duration::from_millis(250),
    question_bytes: MAX_MESSAGE_BYTES,
    answer_bytes: MAX_MESSAGE_BYTES,
};
/// Steps for one request; other requests of the account may take the credits that it has got.
const MAX_STEPS: u32 = 32;
/// Time for which a request waits for a credit, and the pause after which it looks for one again. One
/// whose owners have all been silent for that time does not wait.
const MAX_CREDIT_WAIT: Duration = Duration::from_millis(500);
const OWNER_RETRY_INTERVAL: Duration = Duration::from_millis(40);

/// Request for credits of an account.
#[derive(Debug, Serialize, Deserialize)]
struct CreditRequest {
    account: Arc<str>,
    wanted: u32,
}

/// Credit of one request, returned on drop unless the request may have run.
pub(crate) struct TakenCredit<'a, P: PlatformAdapter> {
    state: &'a SidecarState<P>,
    account: Arc<AccountRule>,
    expires_at: TimePoint,
    is_spent: bool,
}

impl<P: PlatformAdapter> TakenCredit<'_, P> {
    /// Keeps the credit from being returned.
    pub(crate) fn spend(&mut self) {
        self.is_spent = true;
    }

    /// Lets the credit be returned: the request has not run.
    pub(crate) fn keep_unspent(&mut self) {
        self.is_spent = false;
    }
}

impl<P: PlatformAdapter> Drop for TakenCredit<'_, P> {
    fn drop(&mut self) {
        if self.is_spent {
            return;
        }
        if let Some(limit) = &self.account.limit {
            let now = self.state.clock.now();
            let accounts = &self.state.accounts;
            accounts.with_purse(&self.account.name, limit, |purse| {
                purse.put_back(now, self.expires_at);
            });
        }
    }
}

/// Takes a credit for a request of an account; `None` if the account has no limit.
pub(crate) async fn take_credit<'a, P: PlatformAdapter>(
    state: &'a Arc<SidecarState<P>>,
    account: &Arc<AccountRule>,
) -> Result<Option<TakenCredit<'a, P>>, QuotaRefusal> {
    let Some(limit) = account.limit else {
        return Ok(None);
    };
    let name = &account.name;
    let accounts = &state.accounts;
    let started_at = state.clock.now();
    accounts.with_purse(name, &limit, |purse| purse.record_request(started_at));
    for _ in 0..MAX_STEPS {
        let now = state.clock.now();
        let time_left = MAX_CREDIT_WAIT.saturating_sub(now.since(started_at));
        if time_left.is_zero() {
            break;
        }
        let decision = accounts.decide(now, name, &limit);
        if let Some((owner, wanted)) = decision.probe {
            tokio::spawn(ask_owner(state.clone(), owner, account.clone(), wanted));
        }
        match decision.step {
            CreditStep::Pass { expires_at } => {
                return Ok(Some(TakenCredit {
                    state,
                    account: account.clone(),
                    expires_at,
                    is_spent: false,
                }));
            }
            CreditStep::LimitReached(wait) => return Err(QuotaRefusal::LimitReached(wait)),
            CreditStep::NoOwner if decision.silent_time >= MAX_CREDIT_WAIT => break,
            CreditStep::NoOwner => sleep(OWNER_RETRY_INTERVAL).await,
            CreditStep::Ask { owner, wanted } if owner == state.settings.listen.mesh => {
                let answer = grant_credits(state, name, wanted);
                accounts.with_purse(name, &limit, |purse| {
                    purse.record_answer(now, now, owner, wanted, Some(answer));
                });
            }
            CreditStep::Ask { owner, wanted } => {
                // The account gets the credits also if this request has ended by then.
                let asking = tokio::spawn(ask_owner(state.clone(), owner, account.clone(), wanted));
                if timeout(time_left, asking).await.is_err() {
                    break;
                }
            }
        }
    }
    Err(QuotaRefusal::NoOwner)
}

/// Asks an owner for credits and records its answer.
async fn ask_owner<P: PlatformAdapter>(
    state: Arc<SidecarState<P>>,
    owner: SocketAddr,
    account: Arc<AccountRule>,
    wanted: u32,
) {
    let Some(limit) = account.limit else {
        return;
    };
    let name = &account.name;
    let asked_at = state.clock.now();
    let request = CreditRequest {
        account: name.clone(),
        wanted,
    };
    let answer = CREDIT_QUESTION.ask(&state, owner, &request).await;
    if let Err(error) = &answer {
        metrics::counter!("banyantrestle_credit_requests_failed_total").increment(1);
        if state.log.try_acquire(LineCategory::Failure) {
            slog::info!(state.log.logger, "no credits from the quota owner";
                "step" => %error.step, "peer" => &error.peer, "error" => %error.source,
                "account" => &**name);
        }
    }
    let now = state.clock.now();
    let accounts = &state.accounts;
    let has_changed = accounts
        .reach()
        .record(now, asked_at, owner, answer.is_ok());
    if has_changed {
        slog::info!(state.log.logger, "quota owner silent or back"; "peer" => %owner,
            "answers" => answer.is_ok());
    }
    accounts.with_purse(name, &limit, |purse| {
        purse.record_answer(now, asked_at, owner, wanted, answer.ok());
    });
}

/// Answers another sidecar's request for credits.
pub(crate) async fn serve_credits<P: PlatformAdapter>(
    state: &SidecarState<P>,
    body: Incoming,
) -> Response<RelayBody> {
    let grant = |request: CreditRequest| grant_credits(state, &request.account, request.wanted);
    CREDIT_QUESTION.serve(state, body, grant).await
}

/// Hands out credits of an account if this sidecar is one of its owners.
fn grant_credits<P: PlatformAdapter>(
    state: &SidecarState<P>,
    account: &Arc<str>,
    wanted: u32,
) -> CreditGrant {
    let config = state.config();
    let accounts = config.as_ref().and_then(|config| config.accounts.as_ref());
    let rule = accounts.and_then(|accounts| accounts.find_name(account));
    let Some(limit) = rule.and_then(|rule| rule.limit) else {
        return CreditGrant::NotOwner;
    };
    let owners = state.accounts.quota_owners(account, &limit);
    if !owners.contains(&state.settings.listen.mesh) {
        state.accounts.ledger().remove(account);
        return CreditGrant::NotOwner;
    }
    let part = state.settings.quota_tolerance.divide(limit, owners.len());
    let now = state.clock.now();
    state.accounts.ledger().grant(now, account, part, wanted)
}
