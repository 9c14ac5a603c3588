use {
    super::{
        HeaderNames, HopContext, PlatformAdapter, RetryRequest, SlotOutcome,
        account_gate::{CREDITS_PATH, PROOF_HEADER, PROOF_PATH, serve_credits, serve_proof},
        admin_service::record_leaving,
        attempt_report::{
            ATTEMPT_FAILURE_HEADER, AttemptFailure, AttemptReport, ONLY_PEER_HEADER, RelayBody,
        },
        config_watch::CONFIG_PATH,
        failure_cause::CAUSE_HEADER,
        forwarded_call::{ForwardedCall, copy_headers, header_text, remove_sidecar_headers},
        hop_context::HOP_CONTEXT_HEADER,
        live_target::LiveTarget,
        load_header::LOAD_HEADER,
        local_response::RequestFailure,
        parent_recovery::{SENT_CALLS_PATH, serve_sent_calls},
        peer_call::MAX_BUFFERED_RESPONSE_BYTES,
        pressure_report::PRESSURE_HEADER,
        request_log::LineCategory,
        running_calls::RunningCall,
        sidecar_state::{SidecarPhase, SidecarState},
        slot_semaphore::SlotRefusal,
        streamed_run::StreamedRun,
        suspect_exchange::{SUSPECTS_PATH, serve_suspects},
        taken_body::TakenBody,
        target_incarnation::TargetIncarnation,
        target_notice::apply_response_notice,
        tree_cost::TREE_COST_HEADER,
    },
    crate::{
        crash::{RequestDigest, RunEnd, SuspectStanding, choose_isolation_target},
        net::{
            BudgetRefusal, MAX_READ_BUFFER_BYTES, MAX_SEND_BUFFER_BYTES, RequestError,
            ResponseBody, ResponsePrefix, ReuseRule, SegmentedBody, SendFailure, TargetConnection,
            clean_response_headers, read_reserved_request, read_reserved_response, read_response,
            remove_content_length, set_header,
        },
        time::TimePoint,
    },
    bytes::Bytes,
    http::{
        HeaderMap, HeaderValue, Request, Response, StatusCode,
        header::{CONTENT_ENCODING, HeaderName},
        request::Parts,
    },
    hyper::body::Incoming,
    std::{sync::Arc, time::Duration},
    tokio::time::timeout_at,
};

/// Maximum body of a call from another sidecar, in bytes; that sidecar enforces the configured
/// limit.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;
/// Bytes of a response that are in buffers while it is relayed: two reads from the target, and what
/// waits to be sent.
const RUN_BUFFER_BYTES: usize = 2 * MAX_READ_BUFFER_BYTES + MAX_SEND_BUFFER_BYTES;
/// Timeout for the body of a call from another sidecar.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);
/// Time after the deadline of a call at which its connection to the target is closed.
const CONNECTION_END_TIME: Duration = Duration::from_millis(500);
/// Margin by which a connection is dropped before the target's keep-alive timeout closes it.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_secs(1);
/// Idle time of a connection when the target names no keep-alive timeout.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(4);
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
/// Maximum idle time of a connection that is reused for a call of a non-idempotent route. Some
/// targets drop idle connections without notice, some of them after 300 ms; a call on such a
/// connection gets a reset, which leaves open whether it has run.
const MAX_NON_IDEMPOTENT_IDLE: Duration = Duration::from_millis(200);
/// Time before the deadline at which a call that has not started is refused, so that the refusal
/// reaches the caller before the deadline.
const REFUSAL_LEAD_TIME: Duration = Duration::from_millis(20);
/// Pressure above which the target gets no further attempts of a call. It is above the pressure at
/// which the ingress sidecars hold a loaded service.
const MAX_RETRY_PRESSURE: f64 = 1.6;

/// Serves calls from other sidecars and their requests for the configuration document.
pub(crate) async fn serve_inbound<P: PlatformAdapter>(
    state: Arc<SidecarState<P>>,
    request: Request<Incoming>,
) -> Response<TakenBody> {
    let taken = state.taken.token();
    let (mut head, body) = request.into_parts();
    let response = match head.headers.remove(HOP_CONTEXT_HEADER) {
        Some(context) => serve_call(&state, head, body, &context).await,
        None => match head.uri.path() {
            SUSPECTS_PATH => serve_suspects(&state, body).await,
            CREDITS_PATH => serve_credits(&state, body).await,
            PROOF_PATH => serve_proof(&state),
            SENT_CALLS_PATH => serve_sent_calls(&state, body).await,
            path => serve_config(&state, path),
        },
    };
    response.map(|body| TakenBody::new(body, taken))
}

async fn serve_call<P: PlatformAdapter>(
    state: &Arc<SidecarState<P>>,
    mut head: Parts,
    mut body: Incoming,
    context: &HeaderValue,
) -> Response<RelayBody> {
    let text = context.to_str().ok();
    let context = text.and_then(|text| HopContext::decode(text, sent_at(state, text)));
    let Some(context) = context else {
        slog::warn!(
            state.log.logger,
            "call refused: malformed context header from a peer"
        );
        return to_response(state, AttemptReport::failed(AttemptFailure::NoTarget));
    };
    let budget = &state.body_budget;
    let body_timeout = BODY_TIMEOUT.min(state.clock.now().until(context.deadline));
    let body = match read_reserved_request(&mut body, MAX_BODY_BYTES, body_timeout, budget).await {
        Ok(body) => body,
        Err(RequestError::NoMemory(refusal)) => {
            let id = header_text(&head.headers, &state.platform.headers().request_id);
            report_no_memory(state, id.unwrap_or_default(), "body", refusal);
            return to_response(state, AttemptReport::failed(AttemptFailure::QueueFull));
        }
        Err(error) => {
            slog::info!(state.log.logger, "call refused: its body did not arrive from the peer";
                "error" => %error);
            return to_response(state, AttemptReport::failed(AttemptFailure::NoTarget));
        }
    };
    if let Some(incarnation) = TargetIncarnation::take_leaving_header(&mut head.headers) {
        record_leaving(state, &incarnation, "peer");
    }
    if !state.takes_calls() {
        return to_response(state, AttemptReport::failed(AttemptFailure::TargetClosed));
    }
    let call = ForwardedCall::new(head, body, state.platform.headers());
    let report = run_on_local_target(state, &call, &context).await;
    to_response(state, report)
}

/// When a call was sent, from which its times count. A pause of this process may hide how long a call
/// of an unknown sender has waited.
fn sent_at<P: PlatformAdapter>(state: &SidecarState<P>, context: &str) -> TimePoint {
    let now = state.clock.now();
    let earliest = state.pauses.earliest_arrival(now);
    HopContext::decode_clock(context).map_or(earliest, |reading| {
        state.remote_clocks.sent_at(reading, now, earliest)
    })
}

/// Reports a call whose body or response has no room in the memory. Sidecars of older builds know the
/// failure by which the call is refused, and try another target.
fn report_no_memory<P: PlatformAdapter>(
    state: &SidecarState<P>,
    id: &str,
    part: &str,
    refusal: BudgetRefusal,
) {
    let reason = RequestFailure::NoMemory;
    metrics::counter!("banyantrestle_hop_failures_total", "reason" => reason.to_string())
        .increment(1);
    if state.log.try_acquire(LineCategory::Refused) {
        slog::info!(state.log.logger, "call refused: no memory for its {}", part;
            "request" => id, "error" => %refusal, "held_bytes" => state.body_budget.held());
    }
}

/// Sends the configuration document in force to another sidecar.
fn serve_config<P: PlatformAdapter>(state: &SidecarState<P>, path: &str) -> Response<RelayBody> {
    let config = state.config.borrow().clone();
    let mut response = Response::new(ResponseBody::buffered(Bytes::new(), None));
    match config {
        Some(active) if path == CONFIG_PATH => {
            *response.body_mut() = ResponseBody::buffered(active.document, None);
        }
        _ => *response.status_mut() = StatusCode::NOT_FOUND,
    }
    response
}

fn to_response<P: PlatformAdapter>(
    state: &SidecarState<P>,
    report: AttemptReport,
) -> Response<RelayBody> {
    let mut response = match report.result {
        Ok(mut response) => {
            let headers = copy_headers(response.headers(), state.platform.headers());
            *response.headers_mut() = headers;
            response
        }
        Err(failure) => {
            let mut response = Response::new(ResponseBody::buffered(Bytes::new(), None));
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            set_header(
                response.headers_mut(),
                ATTEMPT_FAILURE_HEADER,
                failure.into(),
            );
            response
        }
    };
    if let Some(only_peer) = report.only_peer {
        set_header(
            response.headers_mut(),
            ONLY_PEER_HEADER,
            &only_peer.to_string(),
        );
    }
    let (load, leaving) = {
        let target_status = state.target();
        let live = target_status.live.as_ref();
        let load = report.load.or_else(|| Some(live?.semaphore.load()));
        (load, target_status.tracker.leaving())
    };
    let headers = response.headers_mut();
    if let Some(incarnation) = leaving {
        incarnation.set_leaving_header(headers);
    }
    if let Some(load) = load {
        set_unindexed_header(headers, LOAD_HEADER, &load.encode());
    }
    let pressure_report = state.admission().pressure_report(state.clock.now());
    if !pressure_report.services().is_empty() {
        set_unindexed_header(headers, PRESSURE_HEADER, &pressure_report.encode());
    }
    if !report.tree_cost.services().is_empty() {
        set_unindexed_header(headers, TREE_COST_HEADER, &report.tree_cost.encode());
    }
    if let Some(text) = state.proof_report() {
        set_unindexed_header(headers, PROOF_HEADER, &text);
    }
    if let Some(cause) = &report.cause {
        set_unindexed_header(headers, CAUSE_HEADER, &cause.to_string());
    }
    response
}

/// Sets a header whose value differs on each response; it is marked sensitive to keep it out of the
/// HPACK table.
fn set_unindexed_header(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(mut value) = HeaderValue::from_str(value) {
        value.set_sensitive(true);
        headers.insert(name, value);
    }
}

/// Runs a call on the local target.
pub(crate) async fn run_on_local_target<P: PlatformAdapter>(
    state: &Arc<SidecarState<P>>,
    call: &ForwardedCall,
    context: &HopContext,
) -> AttemptReport {
    let _taken = state.taken.token();
    let target = match find_target(state, context) {
        Ok(target) => target,
        Err(failure) => return AttemptReport::failed(failure),
    };
    let mut report = run_with_slot(state, &target, call, context).await;
    if let Err(failure) = &report.result {
        metrics::counter!("banyantrestle_hop_failures_total", "reason" => failure.to_string())
            .increment(1);
    }
    report.load = Some(target.semaphore.load());
    report
}

async fn run_with_slot<P: PlatformAdapter>(
    state: &Arc<SidecarState<P>>,
    target: &Arc<LiveTarget>,
    call: &ForwardedCall,
    context: &HopContext,
) -> AttemptReport {
    let digest = state.crash_watch.digest(call, &context.caller_identity());
    if let Some(report) = refuse_suspect(state, digest) {
        return report;
    }
    if context.is_retry() && !acquire_retry(state, target, context) {
        return AttemptReport::failed(AttemptFailure::NoRetries);
    }
    let acquiring = target
        .semaphore
        .acquire(context.rank, context.root_start, context.deadline);
    let deadline = state.clock.instant_of(context.deadline);
    let wait_deadline = state.clock.instant_of(context.deadline - REFUSAL_LEAD_TIME);
    let permit = match timeout_at(wait_deadline, acquiring).await {
        Ok(Ok(permit)) => permit,
        Ok(Err(refusal)) => {
            if refusal == SlotRefusal::RateLimited && context.is_retry() {
                state.retry_budget().return_unused(context.rank);
            }
            return AttemptReport::failed(refusal.into());
        }
        Err(_) => return AttemptReport::failed(AttemptFailure::DeadlineTooNear),
    };
    // The shutdown may have begun while the call waited.
    if !state.ends_before_shutdown(context.deadline) {
        permit.release(SlotOutcome::Abandoned);
        if context.is_retry() {
            state.retry_budget().return_unused(context.rank);
        }
        return AttemptReport::failed(AttemptFailure::TargetClosed);
    }
    let reserved = state.body_budget.try_reserve_buffers(RUN_BUFFER_BYTES);
    let buffers = match reserved {
        Ok(buffers) => buffers,
        Err(refusal) => {
            report_no_memory(state, &call.id, "response", refusal);
            permit.release(SlotOutcome::Abandoned);
            if context.is_retry() {
                state.retry_budget().return_unused(context.rank);
            }
            return AttemptReport::failed(AttemptFailure::QueueFull);
        }
    };
    let started_at = permit.started_at();
    let Some(run) = state.crash_watch.try_start(target, digest) else {
        if context.is_retry() {
            state.retry_budget().return_unused(context.rank);
        }
        let report = refuse_suspect(state, digest);
        return report.unwrap_or_else(|| AttemptReport::failed(AttemptFailure::SuspectBusy));
    };
    let running = RunningCall::new(context.clone());
    let running = state.running.insert(&call.id, running);
    let running_call = running.call.clone();
    let run = StreamedRun {
        permit,
        run,
        _in_flight: state.in_flight.token(),
        _buffers: buffers,
        running,
    };
    if !context.is_retry() {
        let now = state.clock.now();
        state.retry_budget().record_first_attempt(now, context.rank);
    }
    if target.semaphore.rate_limit().is_some() {
        metrics::counter!("banyantrestle_rate_limited_calls_total").increment(1);
    }
    let result = match timeout_at(deadline, send_to_target(state, target, call, context, run)).await
    {
        Ok(result) => result,
        Err(_) => Err(AttemptFailure::DeadlinePassed),
    };
    let mut tree_cost = running_call.tree_cost();
    let slot_time = state.clock.now().since(started_at);
    tree_cost.add(&context.service, slot_time, target.semaphore.pressure());
    // A failed child call that the target recovered from is not the cause of a failure.
    let is_failed = match &result {
        Ok(response) => response.status().is_server_error(),
        Err(_) => true,
    };
    let cause = running_call.last_failure().filter(|_| is_failed);
    AttemptReport {
        result,
        tree_cost,
        load: None,
        cause,
        only_peer: None,
    }
}

/// Refuses a request that crashes its targets, or that may run on another target only.
fn refuse_suspect<P: PlatformAdapter>(
    state: &SidecarState<P>,
    digest: RequestDigest,
) -> Option<AttemptReport> {
    match state.crash_watch.standing(digest) {
        SuspectStanding::Trusted | SuspectStanding::Suspect => None,
        SuspectStanding::Refused => Some(AttemptReport::failed(AttemptFailure::RequestRefused)),
        SuspectStanding::Isolated => {
            let view = state.membership.view().borrow().clone();
            let serving = view.of_service(&state.settings.service);
            let serving = serving.filter(|record| record.accepts_new_calls());
            let only_peer = choose_isolation_target(digest, serving.map(|record| record.mesh))?;
            (only_peer != state.settings.listen.mesh).then(|| AttemptReport {
                only_peer: Some(only_peer),
                ..AttemptReport::failed(AttemptFailure::SuspectElsewhere)
            })
        }
    }
}

fn find_target<P: PlatformAdapter>(
    state: &SidecarState<P>,
    context: &HopContext,
) -> Result<Arc<LiveTarget>, AttemptFailure> {
    if state.settings.service != context.service {
        return Err(AttemptFailure::NoTarget);
    }
    let is_closed = state.phase() >= SidecarPhase::Closing;
    if is_closed || !state.ends_before_shutdown(context.deadline) {
        return Err(AttemptFailure::TargetClosed);
    }
    let target_status = state.target();
    target_status
        .live
        .clone()
        .ok_or(AttemptFailure::TargetClosed)
}

/// Takes a retry from the budget of the target; false if none is left, or if the target is
/// overloaded and the call itself is a further attempt. A call below one has been admitted with it,
/// and its refusal would waste the work of the whole attempt.
fn acquire_retry<P: PlatformAdapter>(
    state: &SidecarState<P>,
    target: &LiveTarget,
    context: &HopContext,
) -> bool {
    let is_inherited = context.earlier_attempts == 0;
    if !is_inherited && target.semaphore.pressure() > MAX_RETRY_PRESSURE {
        return false;
    }
    let targets = state.peers().target_count(&context.service);
    let request = RetryRequest {
        rank: context.rank,
        is_inherited,
        failure_rate: target.semaphore.load().failure_rate,
    };
    let now = state.clock.now();
    state.retry_budget().try_acquire(now, request, targets)
}

/// Sends a call that holds a slot to the target and reads the response.
async fn send_to_target<P: PlatformAdapter>(
    state: &Arc<SidecarState<P>>,
    target: &Arc<LiveTarget>,
    call: &ForwardedCall,
    context: &HopContext,
    target_run: StreamedRun,
) -> Result<Response<RelayBody>, AttemptFailure> {
    let deadline = state.clock.instant_of(context.deadline) + CONNECTION_END_TIME;
    let max_idle_time = if context.is_idempotent {
        Duration::MAX
    } else {
        MAX_NON_IDEMPOTENT_IDLE
    };
    let rule = ReuseRule {
        max_idle_time,
        call_id: &call.id,
    };
    let sent = loop {
        let connection = match target.pool.connection(rule, deadline).await {
            Ok(connection) => connection,
            Err(failure) => break Err(failure),
        };
        let request = match build_target_request(state, target, call, context) {
            Ok(request) => request,
            Err(failure) => {
                target_run.finish_not_run();
                return Err(failure);
            }
        };
        match connection.send(request, deadline).await {
            Err(SendFailure::NotSent(_)) => {}
            sent => break sent,
        }
    };
    match sent {
        Ok((response, connection)) => {
            relay_response(
                state, target, call, context, response, connection, target_run,
            )
            .await
        }
        Err(failure) => {
            let (kind, end) = match failure {
                SendFailure::NotSent(_) => (AttemptFailure::TargetConnectFailed, RunEnd::NotRun),
                SendFailure::Broken(_) => (AttemptFailure::TargetConnectionBroken, RunEnd::Broken),
                SendFailure::BadResponse(_) => (AttemptFailure::BadResponse, RunEnd::Abandoned),
                SendFailure::TimedOut(_) => {
                    (AttemptFailure::TargetConnectionBroken, RunEnd::Abandoned)
                }
            };
            if state.log.try_acquire(LineCategory::Failure) {
                slog::info!(state.log.logger, "request to the target failed"; "request" => &call.id,
                    "failure" => %kind, "error" => %failure.into_error());
            }
            let crash = end_failed_run(state, target, call, context, target_run, end).await;
            Err(crash.unwrap_or(kind))
        }
    }
}

/// Builds the request to the target, unless it must not be sent any more.
///
/// It is built when it can be written at once: until then the deadline may have passed, and the
/// target may have left.
fn build_target_request<P: PlatformAdapter>(
    state: &SidecarState<P>,
    target: &LiveTarget,
    call: &ForwardedCall,
    context: &HopContext,
) -> Result<Request<SegmentedBody>, AttemptFailure> {
    let now = state.clock.now();
    if now >= context.deadline {
        return Err(AttemptFailure::DeadlineTooNear);
    }
    if context.key_valid_until.is_some_and(|end| now >= end) {
        return Err(AttemptFailure::KeyUnproven);
    }
    if target.semaphore.is_closed() {
        return Err(AttemptFailure::TargetClosed);
    }
    let names = state.platform.headers();
    let request = call.to_target_request(context, &target.incarnation.instance, names, now);
    request.map_err(|error| {
        slog::warn!(state.log.logger, "call refused: request to the target can't be built";
            "request" => &call.id, "error" => %error);
        AttemptFailure::NoTarget
    })
}

/// Ends a call that got no complete response; returns the failure if the target has crashed.
async fn end_failed_run<P: PlatformAdapter>(
    state: &SidecarState<P>,
    target: &LiveTarget,
    call: &ForwardedCall,
    context: &HopContext,
    target_run: StreamedRun,
    end: RunEnd,
) -> Option<AttemptFailure> {
    let digest = target_run.run.digest()?;
    let caller = &context.caller_identity();
    state.crash_watch.note_label(digest, call, caller);
    target_run.finish(SlotOutcome::Failed, end);
    if end != RunEnd::Broken || !state.crash_watch.has_crashed(target).await {
        return None;
    }
    if state.log.try_acquire(LineCategory::Failure) {
        slog::info!(state.log.logger, "target crashed under a call"; "request" => &call.id,
            "hash" => %digest, "path" => &call.path, "caller" => caller,
            "instance" => &target.incarnation.instance);
    }
    Some(match state.crash_watch.standing(digest) {
        SuspectStanding::Refused => AttemptFailure::RequestRefused,
        _ => AttemptFailure::TargetCrashed,
    })
}

/// Checks the response of the target and frees the slot; a long response holds the slot until it
/// has been relayed.
async fn relay_response<P: PlatformAdapter>(
    state: &Arc<SidecarState<P>>,
    target: &LiveTarget,
    call: &ForwardedCall,
    context: &HopContext,
    response: Response<Incoming>,
    connection: TargetConnection,
    target_run: StreamedRun,
) -> Result<Response<RelayBody>, AttemptFailure> {
    let (mut head, body) = response.into_parts();
    let keep_alive_time = keep_alive_time(&head.headers);
    let names = state.platform.headers();
    state.unread_fields.record_response(
        &head.headers,
        &names.response_headers(),
        &state.log.logger,
    );
    apply_response_notice(state, target, &call.id, head.status, &head.headers);
    if let Some(failure) = response_failure(call, head.status, &head.headers, names) {
        if failure == AttemptFailure::Shed
            && read_response(body, MAX_BUFFERED_RESPONSE_BYTES)
                .await
                .is_ok()
        {
            connection.release_refused(keep_alive_time, &call.id);
        }
        let end = if failure == AttemptFailure::Shed {
            RunEnd::NotRun
        } else {
            RunEnd::Abandoned
        };
        target_run.finish(SlotOutcome::Failed, end);
        return Err(failure);
    }
    if is_unconfirmed_refusal(head.status) {
        head.status = StatusCode::BAD_GATEWAY;
        head.headers.remove(&names.signature);
    }
    clean_response_headers(&mut head.headers);
    remove_sidecar_headers(&mut head.headers);
    head.headers.remove(&names.target_load);
    remove_content_length(&call.method, head.status, &mut head.headers);
    let outcome = if head.status.is_server_error() {
        SlotOutcome::Failed
    } else {
        SlotOutcome::Responded
    };
    let budget = &state.body_budget;
    match read_reserved_response(body, MAX_BUFFERED_RESPONSE_BYTES, budget).await {
        Ok(ResponsePrefix::Complete { data, trailers }) => {
            connection.release_with_timeout(keep_alive_time);
            target_run.finish(outcome, RunEnd::Answered);
            Ok(Response::from_parts(
                head,
                ResponseBody::buffered(data, trailers),
            ))
        }
        Ok(ResponsePrefix::Partial { prefix, rest }) => {
            let deadline = state.clock.instant_of(context.deadline);
            let body = ResponseBody::streamed(prefix, rest, deadline, Some(target_run));
            Ok(Response::from_parts(head, body))
        }
        Err(error) => {
            if state.log.try_acquire(LineCategory::Failure) {
                slog::info!(state.log.logger, "response of the target was cut off";
                    "request" => &call.id, "error" => %error);
            }
            let end = RunEnd::Broken;
            let crash = end_failed_run(state, target, call, context, target_run, end).await;
            Err(crash.unwrap_or(AttemptFailure::BadResponse))
        }
    }
}

/// Why a response must not be relayed, according to its status and headers; `None` if it may.
fn response_failure(
    call: &ForwardedCall,
    status: StatusCode,
    headers: &HeaderMap,
    names: &HeaderNames,
) -> Option<AttemptFailure> {
    let echoed_id = header_text(headers, &names.request_id);
    if echoed_id.is_some_and(|echoed_id| echoed_id != call.id) {
        return Some(AttemptFailure::BadResponse);
    }
    let is_refusal =
        headers.contains_key(&names.not_executed) || status == StatusCode::MISDIRECTED_REQUEST;
    if is_refusal && echoed_id.is_none() {
        // It may be the refusal of an earlier call on the connection.
        return Some(AttemptFailure::BadResponse);
    }
    if is_refusal {
        return Some(AttemptFailure::Shed);
    }
    let is_confirmed = headers.contains_key(&names.signature) && echoed_id.is_some();
    let is_encoded = headers.contains_key(CONTENT_ENCODING);
    let is_bad = status.is_success() && (!is_confirmed || is_encoded);
    is_bad.then_some(AttemptFailure::BadResponse)
}

/// Whether callers would take a status to mean that the call has not run. The target has not
/// confirmed that, so the status is replaced.
const fn is_unconfirmed_refusal(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Time for which the connection may stay idle: the target's keep-alive timeout less a margin.
fn keep_alive_time(headers: &HeaderMap) -> Duration {
    let parameters = headers.get(KEEP_ALIVE).map(HeaderValue::to_str);
    let Some(Ok(parameters)) = parameters else {
        return DEFAULT_KEEP_ALIVE;
    };
    let mut timeouts = parameters.split(',').filter_map(|parameter| {
        let (name, value) = parameter.split_once('=')?;
        let is_timeout = name.trim().eq_ignore_ascii_case("timeout");
        is_timeout.then(|| value.trim().parse().ok())?
    });
    let seconds = timeouts.next();
    seconds.map_or(DEFAULT_KEEP_ALIVE, |seconds| {
        Duration::from_secs(seconds).saturating_sub(KEEP_ALIVE_MARGIN)
    })
}

impl From<SlotRefusal> for AttemptFailure {
    fn from(refusal: SlotRefusal) -> Self {
        match refusal {
            SlotRefusal::QueueFull => Self::QueueFull,
            SlotRefusal::TargetStalled => Self::TargetStalled,
            SlotRefusal::DeadlineTooNear => Self::DeadlineTooNear,
            SlotRefusal::RateLimited => Self::RateLimited,
            SlotRefusal::TargetClosed => Self::TargetClosed,
        }
    }
}
