use {
    super::{
        HeaderNames, HopContext, PlatformAdapter, RetryRequest, SlotOutcome,
        config_watch::PLAN_PATH,
        failure_cause::TROUBLE_HEADER,
        forwarded_call::{ForwardedCall, detach_headers, header_text, remove_hop_notes},
        hop_context::HOP_HEADER,
        hop_outcome::{HopFailure, HopOutcome, OUTCOME_HEADER, RelayBody},
        live_target::LiveTarget,
        load_header::LOAD_HEADER,
        peer_call::WHOLE_ANSWER_BYTES,
        pressure_report::RUMOUR_HEADER,
        request_log::LineCategory,
        sidecar_state::SidecarState,
        slot_semaphore::{SlotPermit, SlotRefusal},
        tree_cost::TREE_HEADER,
    },
    crate::net::{
        ResponseBody, ResponsePrefix, SendFailure, TargetConnection, clean_response_headers,
        read_request, read_response, remove_content_length, set_header,
    },
    bytes::Bytes,
    http::{
        HeaderMap, HeaderValue, Request, Response, StatusCode,
        header::{CONTENT_ENCODING, HeaderName},
    },
    hyper::body::Incoming,
    std::{sync::Arc, time::Duration},
    tokio::time::timeout_at,
};

/// Largest body of a call that another sidecar may send; that sidecar enforces the limit in force.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;
/// Time for the body of a call to arrive from another sidecar.
const BODY_PATIENCE: Duration = Duration::from_secs(5);
/// Time before the target closes an idle connection at which it is not used any more.
const IDLE_MARGIN: Duration = Duration::from_secs(1);
/// Time for which an idle connection is kept where the target names none.
const DEFAULT_IDLE: Duration = Duration::from_secs(4);
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
/// Rest of a connection up to which a call that must not run twice goes out on it. Targets forget
/// idle connections, some after 300 ms, and a reset leaves open whether the call has run.
const CERTAIN_REST: Duration = Duration::from_millis(200);
/// Pressure from which the target gets no repeats.
const REPEAT_PRESSURE: f64 = 1.3;

/// Answers a call of another sidecar.
pub(crate) async fn serve_hop<D: PlatformAdapter>(
    state: Arc<SidecarState<D>>,
    request: Request<Incoming>,
) -> Response<RelayBody> {
    let (mut head, body) = request.into_parts();
    let Some(context) = head.headers.remove(HOP_HEADER) else {
        return serve_message(&state, head.uri.path());
    };
    let now = state.clock.now();
    let context = context.to_str().ok();
    let Some(context) = context.and_then(|text| HopContext::decode(text, now)) else {
        slog::warn!(state.log.logger, "context of a hop can't be read");
        return to_response(&state, HopOutcome::failed(HopFailure::NoTarget));
    };
    let body = match read_request(body, MAX_BODY_BYTES, BODY_PATIENCE).await {
        Ok(body) => body,
        Err(error) => {
            slog::info!(state.log.logger, "body of a hop did not arrive"; "error" => %error);
            return to_response(&state, HopOutcome::failed(HopFailure::NoTarget));
        }
    };
    let call = ForwardedCall::new(head, body, state.dialect.headers());
    let outcome = run_here(&state, &call, &context).await;
    to_response(&state, outcome)
}

/// Answers another sidecar that asks for the configuration.
fn serve_message<D: PlatformAdapter>(state: &SidecarState<D>, path: &str) -> Response<RelayBody> {
    let plan = state.plan.borrow().clone();
    let mut response = Response::new(ResponseBody::whole(Bytes::new(), None));
    match plan {
        Some(in_force) if path == PLAN_PATH => {
            *response.body_mut() = ResponseBody::whole(in_force.document, None);
        }
        _ => *response.status_mut() = StatusCode::NOT_FOUND,
    }
    response
}

fn to_response<D: PlatformAdapter>(
    state: &SidecarState<D>,
    outcome: HopOutcome,
) -> Response<RelayBody> {
    let mut response = match outcome.result {
        Ok(mut response) => {
            let headers = detach_headers(response.headers(), state.dialect.headers());
            *response.headers_mut() = headers;
            response
        }
        Err(failure) => {
            let mut response = Response::new(ResponseBody::whole(Bytes::new(), None));
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            set_header(response.headers_mut(), OUTCOME_HEADER, failure.into());
            response
        }
    };
    let load = outcome.load.or_else(|| {
        let slot = state.target();
        slot.live.as_ref().map(|target| target.desk.load())
    });
    let headers = response.headers_mut();
    if let Some(load) = load {
        set_note(headers, LOAD_HEADER, &load.encode());
    }
    let rumour = state.admission().rumour(state.clock.now());
    if !rumour.services().is_empty() {
        set_note(headers, RUMOUR_HEADER, &rumour.encode());
    }
    if !outcome.tree.services().is_empty() {
        set_note(headers, TREE_HEADER, &outcome.tree.encode());
    }
    if let Some(trouble) = &outcome.trouble {
        set_note(headers, TROUBLE_HEADER, &trouble.to_string());
    }
    response
}

/// Sets a header that has another value on each answer.
fn set_note(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(mut value) = HeaderValue::from_str(value) {
        value.set_sensitive(true);
        headers.insert(name, value);
    }
}

/// Runs a call on the target beside this sidecar.
pub(crate) async fn run_here<D: PlatformAdapter>(
    state: &Arc<SidecarState<D>>,
    call: &ForwardedCall,
    context: &HopContext,
) -> HopOutcome {
    let target = match open_target(state, context) {
        Ok(target) => target,
        Err(failure) => return HopOutcome::failed(failure),
    };
    let mut outcome = run_on(state, &target, call, context).await;
    if let Err(failure) = &outcome.result {
        metrics::counter!("banyantrestle_hop_failures_total", "reason" => failure.to_string())
            .increment(1);
    }
    outcome.load = Some(target.desk.load());
    outcome
}

async fn run_on<D: PlatformAdapter>(
    state: &Arc<SidecarState<D>>,
    target: &Arc<LiveTarget>,
    call: &ForwardedCall,
    context: &HopContext,
) -> HopOutcome {
    if context.is_repeat() && !take_repeat(state, target, context) {
        return HopOutcome::failed(HopFailure::NoRepeats);
    }
    let acquiring = target
        .desk
        .acquire(context.rank, context.root_start, context.deadline);
    let deadline = state.clock.instant_of(context.deadline);
    let ticket = match timeout_at(deadline, acquiring).await {
        Ok(Ok(ticket)) => ticket,
        Ok(Err(refusal)) => return HopOutcome::failed(refusal.into()),
        Err(_) => return HopOutcome::failed(HopFailure::DeadlineTooNear),
    };
    if !context.is_repeat() {
        state.repeats().note_first(state.clock.now());
    }
    let place = state.running.insert(&call.id, context.clone());
    let started = ticket.started();
    let result = match timeout_at(deadline, run(state, target, call, context, ticket)).await {
        Ok(result) => result,
        Err(_) => Err(HopFailure::TargetBroken),
    };
    let mut tree = place.call.cost();
    let slot_time = state.clock.now().since(started);
    tree.add(&context.service, slot_time, target.desk.pressure());
    // A failure below that the target made up for is no trouble of this call.
    let is_failed = match &result {
        Ok(response) => response.status().is_server_error(),
        Err(_) => true,
    };
    let trouble = place.call.trouble().filter(|_| is_failed);
    HopOutcome {
        result,
        tree,
        load: None,
        trouble,
    }
}

fn open_target<D: PlatformAdapter>(
    state: &SidecarState<D>,
    context: &HopContext,
) -> Result<Arc<LiveTarget>, HopFailure> {
    if state.settings.service != context.service {
        return Err(HopFailure::NoTarget);
    }
    let slot = state.target();
    slot.live.clone().ok_or(HopFailure::TargetClosed)
}

fn take_repeat<D: PlatformAdapter>(
    state: &SidecarState<D>,
    target: &LiveTarget,
    context: &HopContext,
) -> bool {
    if target.desk.pressure() > REPEAT_PRESSURE {
        return false;
    }
    let targets = state.peers().count(&context.service);
    let ask = RetryRequest {
        rank: context.rank,
        is_inherited: context.attempt == 0,
    };
    let now = state.clock.now();
    state.repeats().take_repeat(now, ask, targets)
}

/// Sends a call that has a slot to the target and reads its answer.
async fn run<D: PlatformAdapter>(
    state: &SidecarState<D>,
    target: &LiveTarget,
    call: &ForwardedCall,
    context: &HopContext,
    ticket: SlotPermit,
) -> Result<Response<RelayBody>, HopFailure> {
    let now = state.clock.now();
    // A suspended VM wakes with calls whose callers have gone.
    if now >= context.deadline {
        return Err(HopFailure::DeadlineTooNear);
    }
    let names = state.dialect.headers();
    let request = match call.to_target(context, &target.instance, names, now) {
        Ok(request) => request,
        Err(error) => {
            slog::warn!(state.log.logger, "request can't be passed on";
                "request" => &call.id, "error" => %error);
            return Err(HopFailure::NoTarget);
        }
    };
    let deadline = state.clock.instant_of(context.deadline) + BODY_PATIENCE;
    let longest_rest = if context.is_idempotent {
        Duration::MAX
    } else {
        CERTAIN_REST
    };
    let sending = target
        .pool
        .send_with_max_idle(request, longest_rest, deadline);
    match sending.await {
        Ok((response, connection)) => {
            take_answer(state, call, context, response, connection, ticket).await
        }
        Err(failure) => {
            ticket.end(SlotOutcome::Failed);
            let kind = match failure {
                SendFailure::NotSent(_) => HopFailure::ConnectFailed,
                SendFailure::Broken(_) | SendFailure::TimedOut(_) => HopFailure::TargetBroken,
            };
            if state.log.has_room(LineCategory::Trouble) {
                slog::info!(state.log.logger, "target failed"; "request" => &call.id,
                    "failure" => %kind, "error" => %failure.into_error());
            }
            Err(kind)
        }
    }
}

async fn take_answer<D: PlatformAdapter>(
    state: &SidecarState<D>,
    call: &ForwardedCall,
    context: &HopContext,
    response: Response<Incoming>,
    connection: TargetConnection,
    ticket: SlotPermit,
) -> Result<Response<RelayBody>, HopFailure> {
    let (mut head, body) = response.into_parts();
    let idle_time = idle_time(&head.headers);
    let names = state.dialect.headers();
    if let Some(failure) = answer_fault(call, head.status, &head.headers, names) {
        if failure == HopFailure::Shed && read_response(body, WHOLE_ANSWER_BYTES).await.is_ok() {
            connection.release_with_timeout(idle_time);
        }
        ticket.end(SlotOutcome::Failed);
        return Err(failure);
    }
    if is_unproven_promise(head.status) {
        head.status = StatusCode::BAD_GATEWAY;
        head.headers.remove(&names.signature);
    }
    clean_response_headers(&mut head.headers);
    remove_hop_notes(&mut head.headers);
    head.headers.remove(&names.target_load);
    remove_content_length(&call.method, head.status, &mut head.headers);
    let end = if head.status.is_server_error() {
        SlotOutcome::Failed
    } else {
        SlotOutcome::Answered
    };
    match read_response(body, WHOLE_ANSWER_BYTES).await {
        Ok(ResponsePrefix::Whole { data, trailers }) => {
            connection.release_with_timeout(idle_time);
            ticket.end(end);
            Ok(Response::from_parts(
                head,
                ResponseBody::whole(data, trailers),
            ))
        }
        Ok(ResponsePrefix::Longer { prefix, rest }) => {
            let deadline = state.clock.instant_of(context.deadline);
            let body = ResponseBody::stream(prefix, rest, deadline, Some(ticket));
            Ok(Response::from_parts(head, body))
        }
        Err(error) => {
            ticket.end(SlotOutcome::Failed);
            if state.log.has_room(LineCategory::Trouble) {
                slog::info!(state.log.logger, "answer of the target broke off";
                    "request" => &call.id, "error" => %error);
            }
            Err(HopFailure::BadAnswer)
        }
    }
}

/// What is wrong with the head of an answer, if it must not be passed on.
fn answer_fault(
    call: &ForwardedCall,
    status: StatusCode,
    headers: &HeaderMap,
    names: &HeaderNames,
) -> Option<HopFailure> {
    let echoed = header_text(headers, &names.request_id);
    if echoed.is_some_and(|echoed| echoed != call.id) {
        return Some(HopFailure::BadAnswer);
    }
    if headers.contains_key(&names.not_executed) || status == StatusCode::MISDIRECTED_REQUEST {
        return Some(HopFailure::Shed);
    }
    let is_proven = headers.contains_key(&names.signature) && echoed.is_some();
    let is_encoded = headers.contains_key(CONTENT_ENCODING);
    let is_bad = status.is_success() && (!is_proven || is_encoded);
    is_bad.then_some(HopFailure::BadAnswer)
}

/// Statuses that promise that a call has not run, which the target has not said.
const fn is_unproven_promise(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Time for which the target leaves the connection open, less a margin.
fn idle_time(headers: &HeaderMap) -> Duration {
    let parameters = headers.get(KEEP_ALIVE).map(HeaderValue::to_str);
    let Some(Ok(parameters)) = parameters else {
        return DEFAULT_IDLE;
    };
    let mut named = parameters.split(',').filter_map(|parameter| {
        let (name, value) = parameter.split_once('=')?;
        let is_timeout = name.trim().eq_ignore_ascii_case("timeout");
        is_timeout.then(|| value.trim().parse().ok())?
    });
    let seconds = named.next();
    seconds.map_or(DEFAULT_IDLE, |seconds| {
        Duration::from_secs(seconds).saturating_sub(IDLE_MARGIN)
    })
}

impl From<SlotRefusal> for HopFailure {
    fn from(refusal: SlotRefusal) -> Self {
        match refusal {
            SlotRefusal::QueueFull => Self::QueueFull,
            SlotRefusal::TargetStalled => Self::TargetStalled,
            SlotRefusal::DeadlineTooNear => Self::DeadlineTooNear,
            SlotRefusal::TargetClosed => Self::TargetClosed,
        }
    }
}
