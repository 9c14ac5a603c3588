use {
    super::{
        super::{
            FailureCause, HopContext, IngressRefusal, PlatformAdapter, RouteRule,
            account_gate::QuotaRefusal,
            forwarded_call::ForwardedCall,
            local_response::{RATE_LIMIT_CAUSE, RequestFailure},
            request_log::LineCategory,
            sidecar_state::SidecarState,
        },
        request_admission::RootRequest,
    },
    crate::crash::RequestDigest,
    http::StatusCode,
    slog::o,
    std::{net::SocketAddr, time::Duration},
};

pub(super) fn report_refusal<P: PlatformAdapter>(
    state: &SidecarState<P>,
    request: RootRequest<'_>,
    refusal: &IngressRefusal,
) {
    count_refusal(request);
    if state.log.try_acquire(LineCategory::Refused) {
        slog::info!(state.log.logger, "refused at the front"; "request" => request.id,
            "route" => &request.rule.name, "rank" => request.rank(),
            "account" => request.account_name(), "service" => %refusal.service,
            "pressure" => refusal.pressure.total, "urgent" => refusal.pressure.urgent,
            "rate" => refusal.rate_limit, "wait_ms" => refusal.retry_after.as_millis());
    }
}

pub(super) fn report_rate_limited<P: PlatformAdapter>(
    state: &SidecarState<P>,
    request: RootRequest<'_>,
    delay: Duration,
) {
    count_refusal(request);
    if state.log.try_acquire(LineCategory::Refused) {
        slog::info!(state.log.logger, "refused at the front"; "request" => request.id,
            "route" => &request.rule.name, "rank" => request.rank(),
            "account" => request.account_name(), "service" => %request.service,
            "cause" => RATE_LIMIT_CAUSE, "wait_ms" => delay.as_millis());
    }
}

pub(super) fn report_quota_refusal<P: PlatformAdapter>(
    state: &SidecarState<P>,
    request: RootRequest<'_>,
    refusal: QuotaRefusal,
) {
    let (failure, wait) = match refusal {
        QuotaRefusal::LimitReached(wait) => (RequestFailure::QuotaExhausted, wait),
        QuotaRefusal::NoOwner => (RequestFailure::QuotaUnknown, Duration::ZERO),
    };
    metrics::counter!("banyantrestle_final_answers_total", "reason" => failure.to_string())
        .increment(1);
    if state.log.try_acquire(LineCategory::Refused) {
        let limit = request.account.and_then(|account| account.rule.limit);
        slog::info!(state.log.logger, "refused at the front"; "request" => request.id,
            "route" => &request.rule.name, "account" => request.account_name(),
            "cause" => %failure, "limit" => limit.map_or(0.0, |limit| limit.rate),
            "wait_ms" => wait.as_millis());
    }
}

fn count_refusal(request: RootRequest<'_>) {
    let route = request.rule.name.clone();
    metrics::counter!("banyantrestle_front_refusals_total", "route" => route).increment(1);
}

pub(super) fn report_crashing_request<P: PlatformAdapter>(
    state: &SidecarState<P>,
    call: &ForwardedCall,
    rule: &RouteRule,
    digest: RequestDigest,
) {
    let failure = RequestFailure::CrashesTargets;
    metrics::counter!("banyantrestle_final_answers_total", "reason" => failure.to_string())
        .increment(1);
    if state.log.try_acquire(LineCategory::Refused) {
        slog::info!(state.log.logger, "ended here"; "request" => &call.id,
            "reason" => %failure, "route" => &rule.name, "path" => &call.path,
            "caller" => %state.settings.service, "hash" => %digest);
    }
}

pub(super) fn report_local_response<P: PlatformAdapter>(
    state: &SidecarState<P>,
    id: &str,
    failure: RequestFailure,
) {
    metrics::counter!("banyantrestle_final_answers_total", "reason" => failure.to_string())
        .increment(1);
    if state.log.try_acquire(LineCategory::Failure) {
        let version = state.config().map_or(0, |config| config.version);
        let proof_age = state.accounts.proof_age(state.clock.now());
        let proof_age = proof_age.map(|age| age.as_millis());
        slog::info!(state.log.logger, "ended here"; "request" => id,
            "reason" => %failure, "plan_version" => version, "proof_age_ms" => proof_age);
    }
}

pub(super) fn log_failed_attempt<P: PlatformAdapter>(
    state: &SidecarState<P>,
    call: &ForwardedCall,
    context: &HopContext,
    peer: Option<SocketAddr>,
    outcome: &'static str,
) {
    if state.log.try_acquire(LineCategory::Failure) {
        let peer = peer.map_or_else(String::new, |peer| peer.to_string());
        slog::info!(state.log.logger, "attempt failed"; "request" => &call.id,
            "service" => %context.service, "peer" => peer, "attempt" => context.earlier_attempts,
            "rank" => context.rank, "depth" => context.depth,
            "left_ms" => state.clock.now().until(context.deadline).as_millis(),
            "outcome" => outcome);
    }
}

pub(super) fn log_response<P: PlatformAdapter>(
    state: &SidecarState<P>,
    call: &ForwardedCall,
    context: &HopContext,
    peer: SocketAddr,
    status: StatusCode,
    cause: Option<&FailureCause>,
) {
    let category = if cause.is_some() {
        LineCategory::Failure
    } else {
        LineCategory::Routine
    };
    if state.log.try_acquire(category) {
        let logger = match cause {
            Some(cause) => state.log.logger.new(o!("cause" => cause.to_string())),
            None => state.log.logger.clone(),
        };
        slog::info!(logger, "answered"; "request" => &call.id,
            "service" => %context.service, "peer" => %peer, "attempt" => context.earlier_attempts,
            "rank" => context.rank, "depth" => context.depth, "status" => status.as_u16(),
            "elapsed_ms" => state.clock.now().since(context.root_start).as_millis());
    }
}
