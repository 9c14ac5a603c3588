use {
    super::{
        super::{
            PlatformAdapter, attempt_report::RelayBody, request_log::LineCategory,
            sidecar_state::SidecarState,
        },
        QuotaRefusal,
    },
    crate::{
        accounts::{AccountRule, CreditGrant, CreditStep},
        error::{ProcessStep, StepError},
        net::{ResponseBody, SendFailure, read_request},
        time::TimePoint,
    },
    bytes::Bytes,
    http::{Request, Response, StatusCode},
    http_body_util::Full,
    hyper::body::Incoming,
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::time::{Instant, sleep, timeout},
};

/// Path at which sidecars request credits from quota owners.
pub(crate) const CREDITS_PATH: &str = "/bt/credits";

/// Time allowed for the answer of one owner.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);
/// Maximum size of a message, in bytes.
const MAX_MESSAGE_BYTES: usize = 4 * 1024;
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
    let answer = request_credits(&state, owner, name, wanted).await;
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

async fn request_credits<P: PlatformAdapter>(
    state: &SidecarState<P>,
    owner: SocketAddr,
    account: &Arc<str>,
    wanted: u32,
) -> Result<CreditGrant, StepError> {
    let failed = |reason: String| StepError::new(ProcessStep::RequestCredits, owner, reason);
    let message = CreditRequest {
        account: account.clone(),
        wanted,
    };
    let message = postcard::to_extend(&message, Vec::new());
    let message = message.map_err(|error| failed(error.to_string()))?;
    let exchange = async {
        let request = Request::post(format!("http://{owner}{CREDITS_PATH}"))
            .body(Full::new(Bytes::from(message)))
            .map_err(|error| failed(error.to_string()))?;
        let deadline = Instant::now() + ANSWER_TIMEOUT;
        let response = state.mesh_pool.send(owner, request, deadline).await;
        let response = response.map_err(SendFailure::into_error)?;
        if response.status() != StatusCode::OK {
            return Err(failed(format!("status {}", response.status())));
        }
        let body = read_request(response.into_body(), MAX_MESSAGE_BYTES, ANSWER_TIMEOUT).await;
        let body = body.map_err(|error| failed(error.to_string()))?;
        postcard::from_bytes(&body).map_err(|error| failed(error.to_string()))
    };
    timeout(ANSWER_TIMEOUT, exchange)
        .await
        .unwrap_or_else(|_| Err(failed(format!("no answer within {ANSWER_TIMEOUT:?}"))))
}

/// Answers another sidecar's request for credits.
pub(crate) async fn serve_credits<P: PlatformAdapter>(
    state: &SidecarState<P>,
    body: Incoming,
) -> Response<RelayBody> {
    let respond = |status, body| {
        let mut response = Response::new(ResponseBody::buffered(body, None));
        *response.status_mut() = status;
        response
    };
    let body = match read_request(body, MAX_MESSAGE_BYTES, ANSWER_TIMEOUT).await {
        Ok(body) => body,
        Err(error) => {
            slog::info!(state.log.logger, "request for credits did not arrive"; "error" => %error);
            return respond(StatusCode::BAD_REQUEST, Bytes::new());
        }
    };
    let request: CreditRequest = match postcard::from_bytes(&body) {
        Ok(request) => request,
        Err(error) => {
            slog::warn!(state.log.logger, "malformed request for credits"; "error" => %error);
            return respond(StatusCode::BAD_REQUEST, Bytes::new());
        }
    };
    let grant = grant_credits(state, &request.account, request.wanted);
    // The answer consists of plain data that always encodes.
    let answer = postcard::to_extend(&grant, Vec::new()).unwrap_or_default();
    respond(StatusCode::OK, answer.into())
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
