use {
    super::{
        AttemptHistory, AttemptOutcome, FailureCause, HopContext, IngressRefusal, MAX_CALL_DEPTH,
        NextStep, PlatformAdapter, RouteConfig, RouteRule, TreeCost, TriedTargets,
        admitted_request::AdmittedRequest,
        attempt_report::{AttemptFailure, RelayBody},
        forwarded_call::{ForwardedCall, header_text, request_host},
        local_response::{RATE_LIMIT_CAUSE, RequestFailure, TARGET_ERROR, local_response},
        peer_call::send_attempt,
        request_log::LineCategory,
        running_calls::RunningCall,
        sidecar_state::{SidecarPhase, SidecarState},
    },
    crate::{
        context::ServiceName,
        crash::RequestDigest,
        net::{RequestArrival, RequestError, read_request},
        time::TimePoint,
    },
    bytes::Bytes,
    http::{
        HeaderValue, Request, Response, StatusCode,
        header::{CONNECTION, CONTENT_LENGTH},
        request::Parts,
    },
    hyper::body::{Body, Incoming},
    rand::RngExt,
    slog::o,
    std::{net::SocketAddr, ops::Range, sync::Arc, time::Duration},
    tokio::time::{sleep, timeout_at},
};

/// Retry delay that refused callers get when no estimate is known.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Random part of a retry delay, as a share of the latency objective of the route.
const RETRY_JITTER_SHARE: f64 = 0.5;
/// Lower bound of the retry delay without its random part.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(40);

/// Time after which a child call is sent again that the rate limits of all targets have refused.
const RATE_LIMIT_DELAY: Duration = Duration::from_millis(50);
/// Time after which a call is sent again that another suspect has kept from running.
const SUSPECT_DELAY: Duration = Duration::from_millis(50);
/// Random factor of these times.
const RETRY_JITTER: Range<f64> = 0.5..1.5;

/// A call that entered at this sidecar.
struct OutboundCall<'a> {
    call: &'a ForwardedCall,
    rule: &'a RouteRule,
    /// Call that the local target is running and makes this call for; `None` if the call starts a
    /// chain.
    parent: Option<Arc<RunningCall>>,
    context: HopContext,
}

/// Serves the callers on the VM and the local target's own calls.
///
/// A pipelined request has arrived while the one before it was handled, and its time runs from
/// then.
pub(crate) async fn serve_outbound<P: PlatformAdapter>(
    state: Arc<SidecarState<P>>,
    request: Request<Incoming>,
    arrival: RequestArrival,
) -> Response<RelayBody> {
    let arrived_at = arrival.arrived_at;
    let _token = state.in_flight.token();
    let mut response = handle_request(&state, request, arrived_at).await;
    if state.phase() >= SidecarPhase::Draining {
        let headers = response.headers_mut();
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    let status = response.status().as_u16().to_string();
    let elapsed = state.clock.now().since(arrived_at);
    metrics::histogram!("banyantrestle_outbound_seconds", "status" => status).record(elapsed);
    response
}

async fn handle_request<P: PlatformAdapter>(
    state: &Arc<SidecarState<P>>,
    request: Request<Incoming>,
    arrived_at: TimePoint,
) -> Response<RelayBody> {
    let names = state.platform.headers();
    let (head, body) = request.into_parts();
    let id = header_text(&head.headers, &names.request_id);
    let id = id.unwrap_or_default().to_owned();
    let respond = |failure, delay| {
        report_local_response(state, &id, failure);
        local_response(failure, &id, delay, names)
    };
    let Some(config) = state.config() else {
        return respond(RequestFailure::NoConfig, Some(DEFAULT_RETRY_DELAY));
    };
    let path = head.uri.path();
    let Some(rule) = config.find(request_host(&head), path).cloned() else {
        return respond(RequestFailure::NoRoute, None);
    };
    let parent = state.running.parent_of(&id);
    let deadline = call_deadline(state, &head, &rule, parent.as_deref(), arrived_at);
    let started_at = state.clock.now();
    if started_at >= deadline {
        return respond(
            RequestFailure::NotRun,
            Some(retry_after(&rule, DEFAULT_RETRY_DELAY)),
        );
    }
    let limit = config.limits.body_bytes;
    let body = match read_body(&head, body, limit, started_at.until(deadline)).await {
        Ok(body) => body,
        Err(failure) => return respond(failure, None),
    };
    let call = ForwardedCall::new(head, body, names);
    let caller = state.settings.service.as_str();
    if let Some(digest) = state.crash_watch.refused_digest(&call, caller) {
        report_crashing_request(state, &call, &rule, digest);
        return local_response(RequestFailure::CrashesTargets, &id, None, names);
    }
    let Some(mut context) = build_context(state, &rule, parent.as_deref(), arrived_at, deadline)
    else {
        return respond(RequestFailure::TooDeep, None);
    };
    let admitted = if parent.is_none() {
        let service = &context.service;
        match admit_request(state, &config, &rule, service, &id, started_at) {
            Ok(admitted) => Some(admitted),
            Err(delay) => {
                let delay = Some(retry_after(&rule, delay));
                return local_response(RequestFailure::NoCapacity, &id, delay, names);
            }
        }
    } else {
        None
    };
    if let Some(admitted) = &admitted {
        context.rank = admitted.queue_rank;
    }
    let service = context.service.clone();
    let outbound = OutboundCall {
        call: &call,
        rule: &rule,
        parent: parent.clone(),
        context,
    };
    let deadline_instant = state.clock.instant_of(deadline);
    let mut phase = state.phase.subscribe();
    let drain_deadline = phase.wait_for(|phase| *phase == SidecarPhase::Stopping);
    let mut cause = None;
    let forwarding = timeout_at(
        deadline_instant,
        forward_with_retries(state, outbound, &mut cause),
    );
    let result = tokio::select! {
        result = forwarding => result,
        _ = drain_deadline => return respond(RequestFailure::Unknown, None),
    };
    if result.is_err() {
        let elapsed = arrived_at.until(deadline);
        record_timeout(state, &rule, parent.as_deref(), &service, elapsed);
        cause = Some(FailureCause::new(
            &service,
            RequestFailure::DeadlinePassed.into(),
        ));
    }
    if let Some(parent) = parent
        && let Some(cause) = cause
    {
        parent.record_failure(cause);
    }
    match result {
        Ok(Ok(response)) => {
            if let Some(admitted) = &admitted
                && response.status().is_success()
            {
                admitted.record_latency(arrived_at, &rule);
            }
            response
        }
        Ok(Err(failure)) => respond(failure, failure_delay(state, failure, &rule, &service)),
        Err(_) => respond(RequestFailure::DeadlinePassed, None),
    }
}

/// Records the cost of a call that reached its deadline. It is not known; a slot is assumed to have
/// been held until then.
fn record_timeout<P: PlatformAdapter>(
    state: &SidecarState<P>,
    rule: &RouteRule,
    parent: Option<&RunningCall>,
    service: &ServiceName,
    elapsed: Duration,
) {
    let mut tree_cost = TreeCost::default();
    tree_cost.add(service, elapsed, 0.0);
    record_cost(state, rule, parent, &tree_cost, false);
}

/// Decides whether a request that starts a chain may run; the error is the time until there is room
/// for it.
fn admit_request<'a, P: PlatformAdapter>(
    state: &'a SidecarState<P>,
    config: &RouteConfig,
    rule: &'a RouteRule,
    service: &ServiceName,
    id: &str,
    now: TimePoint,
) -> Result<AdmittedRequest<'a, P>, Duration> {
    let is_urgent = config.is_urgent(rule.rank);
    let delay = state.peers().rate_limit_delay(now, service, is_urgent);
    if let Some(delay) = delay {
        report_rate_limited(state, id, rule, service, delay);
        return Err(delay);
    }
    AdmittedRequest::admit(state, rule, now).map_err(|refusal| {
        report_refusal(state, id, rule, &refusal);
        refusal.retry_after
    })
}

/// Sends a request to one target after another until one responds or the limits are reached;
/// `cause` is set to the cause of the last failure and cleared by a success.
async fn forward_with_retries<P: PlatformAdapter>(
    state: &Arc<SidecarState<P>>,
    outbound: OutboundCall<'_>,
    cause: &mut Option<FailureCause>,
) -> Result<Response<RelayBody>, RequestFailure> {
    let OutboundCall {
        call,
        rule,
        parent,
        mut context,
    } = outbound;
    let mut history = AttemptHistory::default();
    let mut tried = TriedTargets::default();
    let mut failed_response = None;
    // Sidecar beside the only target that may run the call.
    let mut only_peer: Option<SocketAddr> = None;
    loop {
        context.earlier_attempts = history.delivered();
        let service = &context.service;
        let chosen = choose_peer(state, service, &tried, rule.max_attempts, only_peer.take());
        let Some(peer) = chosen else {
            // The request that the call belongs to has been admitted, and its work would be lost.
            if parent.is_some() && tried.has_rate_limited() {
                sleep(RATE_LIMIT_DELAY.mul_f64(rand::random_range(RETRY_JITTER))).await;
                tried.clear_rate_limited();
                continue;
            }
            log_failed_attempt(state, call, &context, None, AttemptFailure::NoTarget.into());
            cause
                .get_or_insert_with(|| FailureCause::new(service, AttemptFailure::NoTarget.into()));
            let failure = if history.has_not_run() {
                RequestFailure::NotRun
            } else {
                RequestFailure::Unknown
            };
            return failed_response.ok_or(failure);
        };
        let mut report = send_attempt(state, call, &context, peer).await;
        record_pressure(state, &context.service, &mut report.tree_cost);
        let is_complete = is_success(&report.result);
        record_cost(
            state,
            rule,
            parent.as_deref(),
            &report.tree_cost,
            is_complete,
        );
        let has_child_calls = report.has_child_calls();
        only_peer = report.only_peer;
        let result = match report.result {
            Ok(response) if !response.status().is_server_error() => {
                log_response(state, call, &context, peer, response.status(), None);
                *cause = None;
                return Ok(response);
            }
            failed => failed,
        };
        let failure_cause = cause.insert(report.cause.unwrap_or_else(|| {
            let failure = result.as_ref().err();
            let outcome = failure.map_or(TARGET_ERROR, |failure| (*failure).into());
            FailureCause::new(&context.service, outcome)
        }));
        // Both sidecars end the call at the same deadline, and either may be the first to do so.
        let has_timed_out = matches!(result, Err(AttemptFailure::DeadlinePassed));
        let attempt_outcome = match result {
            Ok(response) if has_child_calls => {
                log_response(
                    state,
                    call,
                    &context,
                    peer,
                    response.status(),
                    Some(failure_cause),
                );
                return Ok(response);
            }
            Ok(response) => {
                log_failed_attempt(state, call, &context, Some(peer), TARGET_ERROR);
                failed_response = Some(response);
                AttemptOutcome::TargetError
            }
            Err(failure) => {
                log_failed_attempt(state, call, &context, Some(peer), failure.into());
                if failure == AttemptFailure::SuspectBusy {
                    sleep(SUSPECT_DELAY.mul_f64(rand::random_range(RETRY_JITTER))).await;
                    only_peer = Some(peer);
                }
                failure.attempt_outcome()
            }
        };
        tried.record(peer, attempt_outcome);
        let time_left = state.clock.now().until(context.deadline);
        let step = history.next_step(
            attempt_outcome,
            rule.is_idempotent(),
            rule.max_attempts,
            time_left,
        );
        if step != NextStep::Retry {
            return final_response(step, failed_response, has_timed_out);
        }
    }
}

/// Response to a call that is not sent again.
fn final_response(
    step: NextStep,
    failed_response: Option<Response<RelayBody>>,
    has_timed_out: bool,
) -> Result<Response<RelayBody>, RequestFailure> {
    match step {
        NextStep::RespondNotRun => Err(RequestFailure::NotRun),
        NextStep::RespondRefused => Err(RequestFailure::CrashesTargets),
        NextStep::RelayFailure => failed_response.ok_or(RequestFailure::Unknown),
        NextStep::RespondUnknown if has_timed_out => Err(RequestFailure::DeadlinePassed),
        NextStep::RespondUnknown | NextStep::Retry => Err(RequestFailure::Unknown),
    }
}

/// The target to send a call to, which is counted as in flight there: the one that alone may run
/// the call, or the best of those that remain.
fn choose_peer<P: PlatformAdapter>(
    state: &SidecarState<P>,
    service: &ServiceName,
    tried: &TriedTargets,
    max_attempts: u32,
    only_peer: Option<SocketAddr>,
) -> Option<SocketAddr> {
    let now = state.clock.now();
    let mut peers = state.peers();
    if let Some(peer) = only_peer {
        peers.start_call(service, peer);
        return Some(peer);
    }
    peers.choose(now, service, tried, max_attempts, &mut rand::rng())
}

fn is_success(result: &Result<Response<RelayBody>, AttemptFailure>) -> bool {
    let response = result.as_ref().ok();
    response.is_some_and(|response| response.status().is_success())
}

/// The earliest deadline that the caller, the route and the parent call allow.
fn call_deadline<P: PlatformAdapter>(
    state: &SidecarState<P>,
    head: &Parts,
    rule: &RouteRule,
    parent: Option<&RunningCall>,
    arrived_at: TimePoint,
) -> TimePoint {
    let names = state.platform.headers();
    let text = header_text(&head.headers, &names.deadline_ms);
    let millis = text.and_then(|text| text.parse().ok());
    let timeout = millis.map_or(rule.timeout, Duration::from_millis);
    let deadline = arrived_at + timeout.min(rule.timeout);
    parent.map_or(deadline, |parent| deadline.min(parent.context.deadline))
}

fn build_context<P: PlatformAdapter>(
    state: &SidecarState<P>,
    rule: &RouteRule,
    parent: Option<&RunningCall>,
    arrived_at: TimePoint,
    deadline: TimePoint,
) -> Option<HopContext> {
    let service = rule.choose_service(rand::rng().random())?.clone();
    let parent_context = parent.map(|parent| &parent.context);
    let depth = parent_context.map_or(0, |parent_context| parent_context.depth + 1);
    (depth <= MAX_CALL_DEPTH).then(|| HopContext {
        service,
        caller: state.settings.service.clone(),
        rank: parent_context.map_or(rule.rank, |parent_context| parent_context.rank),
        root_start: parent_context.map_or(arrived_at, |parent_context| parent_context.root_start),
        deadline,
        depth,
        earlier_attempts: 0,
        is_inherited_retry: parent_context.is_some_and(HopContext::is_retry),
        is_idempotent: rule.is_idempotent(),
    })
}

/// Reads a whole body; fails at once if the declared length exceeds the limit.
async fn read_body(
    head: &Parts,
    body: Incoming,
    limit: usize,
    timeout: Duration,
) -> Result<Bytes, RequestFailure> {
    let length = header_text(&head.headers, &CONTENT_LENGTH);
    let length: Option<usize> = length.and_then(|text| text.parse().ok());
    if length.is_some_and(|length| length > limit) {
        return Err(RequestFailure::BodyTooLarge);
    }
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let result = read_request(body, limit, timeout).await;
    result.map_err(|error| match error {
        RequestError::TooLarge { .. } => RequestFailure::BodyTooLarge,
        RequestError::TooSlow { .. } | RequestError::Broken(_) => RequestFailure::BodyLate,
    })
}

/// Sets the pressure of the called service in `tree_cost` and in the admission.
fn record_pressure<P: PlatformAdapter>(
    state: &SidecarState<P>,
    service: &ServiceName,
    tree_cost: &mut TreeCost,
) {
    let now = state.clock.now();
    let pressure = state.peers().pressure(now, service);
    if let Some(pressure) = pressure {
        tree_cost.set_pressure(service, pressure.total);
        state.admission().record_pressure(now, service, pressure);
    }
}

fn record_cost<P: PlatformAdapter>(
    state: &SidecarState<P>,
    rule: &RouteRule,
    parent: Option<&RunningCall>,
    tree_cost: &TreeCost,
    is_complete: bool,
) {
    if let Some(parent) = parent {
        parent.record_cost(tree_cost);
    } else {
        let mut admission = state.admission();
        admission.record_cost(&rule.name, rule.rank, tree_cost, is_complete);
    }
}

/// Retry delay of a caller whose request has failed; `None` if it may have run.
fn failure_delay<P: PlatformAdapter>(
    state: &SidecarState<P>,
    failure: RequestFailure,
    rule: &RouteRule,
    service: &ServiceName,
) -> Option<Duration> {
    let now = state.clock.now();
    let is_not_run = failure == RequestFailure::NotRun;
    is_not_run.then(|| {
        let delay = state.peers().rate_limit_delay(now, service, true);
        retry_after(rule, delay.unwrap_or(DEFAULT_RETRY_DELAY))
    })
}

/// Retry delay of a refused caller, with jitter so that callers do not return at the same time.
fn retry_after(rule: &RouteRule, delay: Duration) -> Duration {
    let max_jitter = rule.latency_objective.mul_f64(RETRY_JITTER_SHARE);
    let delay = delay.clamp(MIN_RETRY_DELAY, max_jitter.max(MIN_RETRY_DELAY));
    delay + max_jitter.mul_f64(rand::rng().random())
}

fn report_refusal<P: PlatformAdapter>(
    state: &SidecarState<P>,
    id: &str,
    rule: &RouteRule,
    refusal: &IngressRefusal,
) {
    metrics::counter!("banyantrestle_front_refusals_total", "route" => rule.name.clone())
        .increment(1);
    if state.log.try_acquire(LineCategory::Refused) {
        slog::info!(state.log.logger, "refused at the front"; "request" => id,
            "route" => &rule.name, "rank" => rule.rank, "service" => %refusal.service,
            "pressure" => refusal.pressure.total, "urgent" => refusal.pressure.urgent,
            "rate" => refusal.rate_limit, "wait_ms" => refusal.retry_after.as_millis());
    }
}

fn report_rate_limited<P: PlatformAdapter>(
    state: &SidecarState<P>,
    id: &str,
    rule: &RouteRule,
    service: &ServiceName,
    delay: Duration,
) {
    metrics::counter!("banyantrestle_front_refusals_total", "route" => rule.name.clone())
        .increment(1);
    if state.log.try_acquire(LineCategory::Refused) {
        slog::info!(state.log.logger, "refused at the front"; "request" => id,
            "route" => &rule.name, "rank" => rule.rank, "service" => %service,
            "cause" => RATE_LIMIT_CAUSE, "wait_ms" => delay.as_millis());
    }
}

fn report_crashing_request<P: PlatformAdapter>(
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

fn report_local_response<P: PlatformAdapter>(
    state: &SidecarState<P>,
    id: &str,
    failure: RequestFailure,
) {
    metrics::counter!("banyantrestle_final_answers_total", "reason" => failure.to_string())
        .increment(1);
    if state.log.try_acquire(LineCategory::Failure) {
        let version = state.config().map_or(0, |config| config.version);
        slog::info!(state.log.logger, "ended here"; "request" => id,
            "reason" => %failure, "plan_version" => version);
    }
}

fn log_failed_attempt<P: PlatformAdapter>(
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

fn log_response<P: PlatformAdapter>(
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
