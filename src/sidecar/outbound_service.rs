use {
    super::{
        AttemptHistory, AttemptOutcome, FailureCause, HopContext, IngressRefusal, MAX_HOPS,
        NextStep, PlatformAdapter, RouteRule, TreeCost, TriedTargets,
        forwarded_call::{ForwardedCall, header_text, request_host},
        hop_outcome::{HopFailure, RelayBody},
        local_reply::{FAILED_RUN, ReplyReason, local_reply},
        peer_call::offer,
        request_log::LineCategory,
        running_calls::RunningCall,
        sidecar_state::{SidecarPhase, SidecarState},
    },
    crate::{
        context::ServiceName,
        net::{RequestError, read_request},
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
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::time::timeout_at,
};

/// When to come back if nothing is known of the room there will be.
const DEFAULT_RETRY: Duration = Duration::from_millis(300);
/// Part of the latency objective of a route over which refused callers come back.
const RETRY_SPREAD: f64 = 0.5;
const MIN_RETRY: Duration = Duration::from_millis(40);

/// A request that entered here, with what was decided of it.
struct OutboundCall<'a> {
    call: &'a ForwardedCall,
    rule: &'a RouteRule,
    parent: Option<Arc<RunningCall>>,
    context: HopContext,
}

/// Answers callers on the VM and the target's own calls.
pub(crate) async fn serve_outbound<D: PlatformAdapter>(
    state: Arc<SidecarState<D>>,
    request: Request<Incoming>,
) -> Response<RelayBody> {
    let _token = state.work.token();
    let arrived = state.clock.now();
    let mut response = answer(&state, request, arrived).await;
    if state.phase() >= SidecarPhase::Leaving {
        let headers = response.headers_mut();
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    let status = response.status().as_u16().to_string();
    let elapsed = state.clock.now().since(arrived);
    metrics::histogram!("banyantrestle_outbound_seconds", "status" => status).record(elapsed);
    response
}

async fn answer<D: PlatformAdapter>(
    state: &Arc<SidecarState<D>>,
    request: Request<Incoming>,
    arrived: TimePoint,
) -> Response<RelayBody> {
    let names = state.dialect.headers();
    let (head, body) = request.into_parts();
    let id = header_text(&head.headers, &names.request_id).unwrap_or_default();
    let id = id.to_owned();
    let refuse = |reason, wait| {
        note_final(state, &id, reason);
        local_reply(reason, &id, wait, names)
    };
    let Some(plan) = state.plan() else {
        return refuse(ReplyReason::NoPlan, Some(DEFAULT_RETRY));
    };
    let path = head.uri.path();
    let Some(rule) = plan.find(request_host(&head), path).cloned() else {
        return refuse(ReplyReason::NoRoute, None);
    };
    let parent = state.running.parent_of(&id);
    let deadline = deadline_of(state, &head, &rule, parent.as_deref(), arrived);
    let limit = plan.limits.body_bytes;
    let body = match read_body(&head, body, limit, arrived.until(deadline)).await {
        Ok(body) => body,
        Err(reason) => return refuse(reason, None),
    };
    let call = ForwardedCall::new(head, body, names);
    let Some(context) = context_of(state, &rule, parent.as_deref(), arrived, deadline) else {
        return refuse(ReplyReason::TooDeep, None);
    };
    if parent.is_none()
        && let Err(refusal) = state.admission().admit(arrived, &rule.name, rule.rank)
    {
        note_refusal(state, &id, &rule, &refusal);
        let wait = retry_after(&rule, refusal.wait);
        return local_reply(ReplyReason::NoRoom, &id, Some(wait), names);
    }
    let service = context.service.clone();
    let root = OutboundCall {
        call: &call,
        rule: &rule,
        parent: parent.clone(),
        context,
    };
    let over = state.clock.instant_of(deadline);
    let mut phase = state.phase.subscribe();
    let ending = phase.wait_for(|phase| *phase == SidecarPhase::Ending);
    let mut trouble = None;
    let carrying = timeout_at(over, carry(state, root, &mut trouble));
    let result = tokio::select! {
        result = carrying => result,
        _ = ending => return refuse(ReplyReason::Unknown, None),
    };
    if result.is_err() {
        let mut tree = TreeCost::default();
        tree.add(&service, arrived.until(deadline), 0.0);
        note_tree(state, &rule, parent.as_deref(), &tree, false);
        trouble = Some(FailureCause::new(&service, ReplyReason::TimeOver.into()));
    }
    if let Some(parent) = parent
        && let Some(trouble) = trouble
    {
        parent.note_trouble(trouble);
    }
    match result {
        Ok(Ok(response)) => response,
        Ok(Err(reason)) => {
            let wait = (reason == ReplyReason::NotRun).then(|| retry_after(&rule, DEFAULT_RETRY));
            refuse(reason, wait)
        }
        Err(_) => refuse(ReplyReason::TimeOver, None),
    }
}

/// Offers a request to one target after the other until one answers; `trouble` tells why it failed.
async fn carry<D: PlatformAdapter>(
    state: &Arc<SidecarState<D>>,
    root: OutboundCall<'_>,
    trouble: &mut Option<FailureCause>,
) -> Result<Response<RelayBody>, ReplyReason> {
    let OutboundCall {
        call,
        rule,
        parent,
        mut context,
    } = root;
    let mut history = AttemptHistory::default();
    let mut trail = TriedTargets::default();
    let mut failed_answer = None;
    loop {
        context.attempt = history.arrivals();
        let now = state.clock.now();
        let chosen = {
            let mut peers = state.peers();
            let service = &context.service;
            peers.choose(now, service, &trail, rule.max_attempts, &mut rand::rng())
        };
        let Some(mesh) = chosen else {
            note_attempt(state, call, &context, None, HopFailure::NoTarget.into());
            trouble.get_or_insert_with(|| {
                FailureCause::new(&context.service, HopFailure::NoTarget.into())
            });
            return match failed_answer {
                Some(response) => Ok(response),
                None if history.is_unrun() => Err(ReplyReason::NotRun),
                None => Err(ReplyReason::Unknown),
            };
        };
        let mut outcome = offer(state, call, &context, mesh).await;
        note_pressure(state, &context.service, &mut outcome.tree);
        let is_whole = is_success(&outcome.result);
        note_tree(state, rule, parent.as_deref(), &outcome.tree, is_whole);
        let has_calls_below = outcome.has_calls_below();
        let result = match outcome.result {
            Ok(response) if !response.status().is_server_error() => {
                note_answer(state, call, &context, mesh, response.status(), None);
                *trouble = None;
                return Ok(response);
            }
            failed => failed,
        };
        let cause = trouble.insert(outcome.trouble.unwrap_or_else(|| {
            let failure = result.as_ref().err();
            let outcome = failure.map_or(FAILED_RUN, |failure| (*failure).into());
            FailureCause::new(&context.service, outcome)
        }));
        let end = match result {
            Ok(response) if has_calls_below => {
                note_answer(state, call, &context, mesh, response.status(), Some(cause));
                return Ok(response);
            }
            Ok(response) => {
                note_attempt(state, call, &context, Some(mesh), FAILED_RUN);
                failed_answer = Some(response);
                AttemptOutcome::FailedRun
            }
            Err(failure) => {
                note_attempt(state, call, &context, Some(mesh), failure.into());
                failure.attempt_end()
            }
        };
        trail.note(mesh, end);
        let left = state.clock.now().until(context.deadline);
        match history.next_step(end, rule.is_idempotent(), rule.max_attempts, left) {
            NextStep::Offer => {}
            NextStep::RefuseUnrun => return Err(ReplyReason::NotRun),
            NextStep::FailUnknown => return Err(ReplyReason::Unknown),
            NextStep::PassFailure => return failed_answer.ok_or(ReplyReason::Unknown),
        }
    }
}

fn is_success(result: &Result<Response<RelayBody>, HopFailure>) -> bool {
    let response = result.as_ref().ok();
    response.is_some_and(|response| response.status().is_success())
}

/// The earliest of what the caller, the route and the call above allow.
fn deadline_of<D: PlatformAdapter>(
    state: &SidecarState<D>,
    head: &Parts,
    rule: &RouteRule,
    parent: Option<&RunningCall>,
    arrived: TimePoint,
) -> TimePoint {
    let names = state.dialect.headers();
    let text = header_text(&head.headers, &names.deadline_ms);
    let millis = text.and_then(|text| text.parse().ok());
    let own = millis.map_or(rule.timeout, Duration::from_millis);
    let deadline = arrived + own.min(rule.timeout);
    parent.map_or(deadline, |parent| deadline.min(parent.context.deadline))
}

fn context_of<D: PlatformAdapter>(
    state: &SidecarState<D>,
    rule: &RouteRule,
    parent: Option<&RunningCall>,
    arrived: TimePoint,
    deadline: TimePoint,
) -> Option<HopContext> {
    let service = rule.service_at(rand::rng().random())?.clone();
    let above = parent.map(|parent| &parent.context);
    let depth = above.map_or(0, |above| above.depth + 1);
    (depth <= MAX_HOPS).then(|| HopContext {
        service,
        caller: state.settings.service.clone(),
        rank: above.map_or(rule.rank, |above| above.rank),
        root_start: above.map_or(arrived, |above| above.root_start),
        deadline,
        depth,
        attempt: 0,
        is_inherited_repeat: above.is_some_and(HopContext::is_repeat),
        is_idempotent: rule.is_idempotent(),
    })
}

/// Reads a body whole; one that says that it is too large is not waited for.
async fn read_body(
    head: &Parts,
    body: Incoming,
    limit: usize,
    patience: Duration,
) -> Result<Bytes, ReplyReason> {
    let length = header_text(&head.headers, &CONTENT_LENGTH);
    let length: Option<usize> = length.and_then(|text| text.parse().ok());
    if length.is_some_and(|length| length > limit) {
        return Err(ReplyReason::BodyTooLarge);
    }
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let result = read_request(body, limit, patience).await;
    result.map_err(|error| match error {
        RequestError::TooLarge { .. } => ReplyReason::BodyTooLarge,
        RequestError::TooSlow { .. } | RequestError::Broken(_) => ReplyReason::BodyLate,
    })
}

/// Takes the pressure of the called service into the admission and the tree.
fn note_pressure<D: PlatformAdapter>(
    state: &SidecarState<D>,
    service: &ServiceName,
    tree: &mut TreeCost,
) {
    let now = state.clock.now();
    let pressure = state.peers().pressure(now, service);
    if let Some(pressure) = pressure {
        tree.set_pressure(service, pressure);
        state.admission().note_pressure(now, service, pressure);
    }
}

fn note_tree<D: PlatformAdapter>(
    state: &SidecarState<D>,
    rule: &RouteRule,
    parent: Option<&RunningCall>,
    tree: &TreeCost,
    is_whole: bool,
) {
    if let Some(parent) = parent {
        parent.note_cost(tree);
    } else {
        let mut admission = state.admission();
        admission.note_cost(&rule.name, rule.rank, tree, is_whole);
    }
}

/// When a refused caller finds room, spread so that callers do not come back together.
fn retry_after(rule: &RouteRule, wait: Duration) -> Duration {
    let spread = rule.latency_objective.mul_f64(RETRY_SPREAD);
    let wait = wait.clamp(MIN_RETRY, spread.max(MIN_RETRY));
    wait + spread.mul_f64(rand::rng().random())
}

fn note_refusal<D: PlatformAdapter>(
    state: &SidecarState<D>,
    id: &str,
    rule: &RouteRule,
    refusal: &IngressRefusal,
) {
    metrics::counter!("banyantrestle_front_refusals_total", "route" => rule.name.clone())
        .increment(1);
    if state.log.has_room(LineCategory::Refused) {
        slog::info!(state.log.logger, "refused at the front"; "request" => id,
            "route" => &rule.name, "rank" => rule.rank, "service" => %refusal.service,
            "pressure" => refusal.pressure, "rate" => refusal.rate,
            "wait_ms" => refusal.wait.as_millis());
    }
}

fn note_final<D: PlatformAdapter>(state: &SidecarState<D>, id: &str, reason: ReplyReason) {
    metrics::counter!("banyantrestle_final_answers_total", "reason" => reason.to_string())
        .increment(1);
    if state.log.has_room(LineCategory::Trouble) {
        let version = state.plan().map_or(0, |plan| plan.version);
        slog::info!(state.log.logger, "ended here"; "request" => id,
            "reason" => %reason, "plan_version" => version);
    }
}

fn note_attempt<D: PlatformAdapter>(
    state: &SidecarState<D>,
    call: &ForwardedCall,
    context: &HopContext,
    mesh: Option<SocketAddr>,
    outcome: &'static str,
) {
    if state.log.has_room(LineCategory::Trouble) {
        let peer = mesh.map_or_else(String::new, |mesh| mesh.to_string());
        slog::info!(state.log.logger, "attempt failed"; "request" => &call.id,
            "service" => %context.service, "peer" => peer, "attempt" => context.attempt,
            "rank" => context.rank, "depth" => context.depth,
            "left_ms" => state.clock.now().until(context.deadline).as_millis(),
            "outcome" => outcome);
    }
}

fn note_answer<D: PlatformAdapter>(
    state: &SidecarState<D>,
    call: &ForwardedCall,
    context: &HopContext,
    mesh: SocketAddr,
    status: StatusCode,
    cause: Option<&FailureCause>,
) {
    let weight = if cause.is_some() {
        LineCategory::Trouble
    } else {
        LineCategory::Routine
    };
    if state.log.has_room(weight) {
        let logger = match cause {
            Some(cause) => state.log.logger.new(o!("cause" => cause.to_string())),
            None => state.log.logger.clone(),
        };
        slog::info!(logger, "answered"; "request" => &call.id,
            "service" => %context.service, "peer" => %mesh, "attempt" => context.attempt,
            "rank" => context.rank, "depth" => context.depth, "status" => status.as_u16(),
            "elapsed_ms" => state.clock.now().since(context.root_start).as_millis());
    }
}
