use {
    super::{
        super::{
            PlatformAdapter, RouteConfig, RouteRule,
            account_gate::{
                AccountRefusal, QuotaRefusal, RequestAccount, TakenCredit, take_credit,
            },
            admitted_request::AdmittedRequest,
            local_response::RequestFailure,
            sidecar_state::SidecarState,
        },
        outbound_log::{report_quota_refusal, report_rate_limited, report_refusal},
        retry_delay::{DEFAULT_RETRY_DELAY, retry_after, retry_after_limit},
    },
    crate::{context::ServiceName, time::TimePoint},
    std::{sync::Arc, time::Duration},
};

/// A request that starts a chain, as the admission sees it.
#[derive(Clone, Copy)]
pub(super) struct RootRequest<'a> {
    pub(super) id: &'a str,
    pub(super) config: &'a RouteConfig,
    pub(super) rule: &'a RouteRule,
    pub(super) service: &'a ServiceName,
    pub(super) account: Option<&'a RequestAccount>,
}

/// Refusal of a request that has not run.
#[derive(Clone, Copy, Debug)]
pub(super) struct RequestRefusal {
    pub(super) failure: RequestFailure,
    pub(super) retry_after: Duration,
}

impl RootRequest<'_> {
    pub(super) fn account_name(&self) -> &str {
        self.account.map_or("", |account| &account.rule.name)
    }

    /// Rank by the account and the route.
    pub(super) fn rank(&self) -> u8 {
        let account = self.account.map(|account| &*account.rule);
        self.config.request_rank(self.rule, account)
    }
}

impl From<AccountRefusal> for RequestFailure {
    fn from(refusal: AccountRefusal) -> Self {
        match refusal {
            AccountRefusal::NoKey => Self::NoKey,
            AccountRefusal::UnknownKey => Self::UnknownKey,
            AccountRefusal::Unproven => Self::KeyUnproven,
        }
    }
}

/// Takes a credit of the account's limit for a request.
pub(super) async fn admit_account<'a, P: PlatformAdapter>(
    state: &'a Arc<SidecarState<P>>,
    request: RootRequest<'_>,
) -> Result<Option<TakenCredit<'a, P>>, RequestRefusal> {
    let Some(account) = request.account else {
        return Ok(None);
    };
    take_credit(state, &account.rule).await.map_err(|refusal| {
        report_quota_refusal(state, request, refusal);
        match refusal {
            QuotaRefusal::LimitReached(wait) => RequestRefusal {
                failure: RequestFailure::QuotaExhausted,
                retry_after: retry_after_limit(request.rule, wait),
            },
            QuotaRefusal::NoOwner => RequestRefusal {
                failure: RequestFailure::QuotaUnknown,
                retry_after: retry_after(request.rule, DEFAULT_RETRY_DELAY),
            },
        }
    })
}

/// Decides whether there is room for a request that starts a chain.
pub(super) fn admit_request<'a, P: PlatformAdapter>(
    state: &'a SidecarState<P>,
    request: RootRequest<'a>,
    now: TimePoint,
) -> Result<AdmittedRequest<'a, P>, RequestRefusal> {
    let RootRequest { rule, service, .. } = request;
    let rank = request.rank();
    let refuse = |delay| RequestRefusal {
        failure: RequestFailure::NoCapacity,
        retry_after: retry_after(rule, delay),
    };
    let is_urgent = request.config.is_urgent(rank);
    let delay = state.peers().rate_limit_delay(now, service, is_urgent);
    if let Some(delay) = delay {
        report_rate_limited(state, request, delay);
        return Err(refuse(delay));
    }
    AdmittedRequest::admit(state, rule, rank, now).map_err(|refusal| {
        report_refusal(state, request, &refusal);
        refuse(refusal.retry_after)
    })
}
