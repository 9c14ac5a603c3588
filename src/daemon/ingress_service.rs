use {
    super::{
        active_calls::{ActiveCall, ChildCall},
        call_reader::{child_fingerprint, read_call, retry_safety},
        call_router::{CallRouter, RoutedRefusal, RoutedResponse},
        daemon_options::DaemonFeature,
        daemon_phase::DaemonPhase,
        daemon_state::{DaemonState, new_call_id, new_request_id},
        in_flight_call::InFlightCall,
        metrics_recorder::count_refusal,
        permit_client::request_permit,
        registered_budget::RegisteredBudget,
        request_events::{record_call_cancelled, record_request_completed, record_request_started},
    },
    crate::{
        context::{
            CONTEXT_HEADER, CallContext, CallPriority, OUTCOME_HEADER, RunOutcome, ServiceName,
        },
        net::{CallRefusal, CallRequest, REQUEST_HEADER, RefusalKind, ResponseBody, set_header},
        policy::ClassRule,
        retry::{RetryBudget, RetrySafety},
        time::TimePoint,
    },
    http::{Request, Response},
    hyper::body::Incoming,
    std::{sync::Arc, time::Duration},
};

/// Delay before a retry while the daemon shuts down.
const DRAIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Delay before a retry if no retry budget or no retry permit is left.
const CAPACITY_RETRY_AFTER: Duration = Duration::from_secs(1);

pub(crate) type IngressResponse = Response<ResponseBody<InFlightCall>>;

/// A request of a caller that this daemon has accepted.
struct IngressRequest {
    request: CallRequest,
    context: CallContext,
    safety: RetrySafety,
    /// Maximum number of retries of all calls in the call chain together.
    max_retries: u32,
}

/// Serves a call from outside the deployment.
pub(crate) async fn serve_ingress(
    state: Arc<DaemonState>,
    request: Request<Incoming>,
) -> IngressResponse {
    let started_at = state.clock.now();
    let accepted = match accept_request(&state, request, started_at).await {
        Ok(accepted) => accepted,
        Err(refusal) => return finish_response(Err(refusal)),
    };
    let result = run_request(&state, &accepted).await;
    record_request_completed(&state, &accepted.context, &result, started_at);
    let mut response = finish_response(into_response(result));
    let id = accepted.context.request.to_string();
    set_header(response.headers_mut(), REQUEST_HEADER, &id);
    response
}

/// Serves a call that the target beside the daemon makes to another service.
pub(crate) async fn serve_target_call(
    state: Arc<DaemonState>,
    request: Request<Incoming>,
) -> IngressResponse {
    let Some(value) = request.headers().get(CONTEXT_HEADER) else {
        return serve_ingress(state, request).await;
    };
    let parent = value
        .to_str()
        .ok()
        .and_then(|text| CallContext::decode(text, state.clock.now()))
        .and_then(|context| state.active_calls.find(context.request, context.call));
    match parent {
        Some(parent) => finish_response(serve_child_call(&state, &parent, request).await),
        None => finish_response(Err(unknown_context_refusal())),
    }
}

/// Reads a call from outside and starts a new request for it.
async fn accept_request(
    state: &DaemonState,
    request: Request<Incoming>,
    started_at: TimePoint,
) -> Result<IngressRequest, CallRefusal> {
    if state.phase() >= DaemonPhase::Draining {
        let refusal = CallRefusal::not_run(RefusalKind::Draining, "this daemon is shutting down");
        return Err(refusal.with_retry_after(DRAIN_RETRY_AFTER));
    }
    let request = read_call(state, request).await?;
    let policy = state.policy();
    let rule = request.rule(&policy);
    let safety = retry_safety(rule, None, &request)?;
    let context = new_context(state, rule, started_at);
    record_request_started(state, &context, &request);
    Ok(IngressRequest {
        request,
        context,
        safety,
        max_retries: policy.document.retry.per_request,
    })
}

async fn run_request(
    state: &Arc<DaemonState>,
    accepted: &IngressRequest,
) -> Result<RoutedResponse, RoutedRefusal> {
    let IngressRequest {
        request, context, ..
    } = accepted;
    check_chain_threshold(state, context, request)?;
    let retry_budget = RetryBudget::new(accepted.max_retries, context.deadline);
    let budget =
        RegisteredBudget::register(state, context.request, retry_budget).ok_or_else(|| {
            let detail = "too many requests are in flight at this daemon";
            let refusal = CallRefusal::not_run(RefusalKind::TooManyRequests, detail);
            refusal.with_retry_after(CAPACITY_RETRY_AFTER)
        })?;
    let router = CallRouter::new(state, request, context, accepted.safety).with_budget(budget);
    let result = router.run().await;
    record_chain_threshold(state, context, &request.service, &result);
    result
}

/// Routes a call of the target as part of the request that the target serves.
async fn serve_child_call(
    state: &Arc<DaemonState>,
    parent: &Arc<ActiveCall>,
    request: Request<Incoming>,
) -> Result<IngressResponse, CallRefusal> {
    let request = read_call(state, request).await?;
    let Some(context) = parent.context.child(parent.context.call) else {
        let detail = format!(
            "the call to {} exceeds the maximum depth of a call chain",
            request.service
        );
        return Err(CallRefusal::not_run(RefusalKind::ChainTooDeep, detail));
    };
    let policy = state.policy();
    let rule = request.rule(&policy);
    let safety = retry_safety(rule, policy.rule(&context.class), &request)?;
    check_child_retry(state, parent, &context, &request).await?;
    let router = CallRouter::new(state, &request, &context, safety);
    // The response is not needed once the parent call has ended.
    let result = tokio::select! {
        result = router.run() => result,
        () = parent.cancelled.cancelled() => {
            record_call_cancelled(state, &context, "the parent call has ended");
            return Err(parent_ended_refusal(&request.service));
        }
    };
    if let Some(threshold) = chain_threshold(&result) {
        parent.record_threshold(threshold);
    }
    into_response(result)
}

fn into_response(
    result: Result<RoutedResponse, RoutedRefusal>,
) -> Result<IngressResponse, CallRefusal> {
    result
        .map(|routed| routed.response)
        .map_err(|refused| refused.refusal)
}

fn new_context(state: &DaemonState, rule: &ClassRule, started_at: TimePoint) -> CallContext {
    let request = new_request_id();
    CallContext {
        request,
        call: new_call_id(),
        class: rule.name.clone(),
        priority: CallPriority::new(rule.rank, request),
        depth: 0,
        deadline: started_at + rule.deadline,
        root: state.mesh_address,
    }
}

/// Refuses a request at the ingress if a service further down the call chain would refuse it.
fn check_chain_threshold(
    state: &DaemonState,
    context: &CallContext,
    request: &CallRequest,
) -> Result<(), CallRefusal> {
    if !state.options.is_enabled(DaemonFeature::ThresholdCache) {
        return Ok(());
    }
    let now = state.clock.now();
    let mut thresholds = state.thresholds();
    if thresholds.is_admitted(now, &request.service, &context.class, context.priority) {
        return Ok(());
    }
    let refusal = thresholds.refusal(&mut rand::rng());
    let detail = format!(
        "{} or a service that it calls is overloaded",
        request.service
    );
    let refused = CallRefusal::not_run(RefusalKind::Overload, detail);
    Err(refused.with_retry_after(refusal.retry_after))
}

fn record_chain_threshold(
    state: &DaemonState,
    context: &CallContext,
    service: &ServiceName,
    result: &Result<RoutedResponse, RoutedRefusal>,
) {
    if let Some(threshold) = chain_threshold(result) {
        state.record_threshold(service, &context.class, threshold);
    }
}

fn chain_threshold(result: &Result<RoutedResponse, RoutedRefusal>) -> Option<CallPriority> {
    let load = match result {
        Ok(routed) => routed.load,
        Err(refused) => refused.load,
    };
    load.map(|load| load.chain_threshold)
}

/// Requests a retry permit if the target makes the same call more than once for one parent call.
async fn check_child_retry(
    state: &Arc<DaemonState>,
    parent: &ActiveCall,
    context: &CallContext,
    request: &CallRequest,
) -> Result<(), CallRefusal> {
    let is_allowed = match parent.record_child(child_fingerprint(request)) {
        ChildCall::First => true,
        ChildCall::Retry => request_permit(state, context, &request.service).await,
        ChildCall::TooMany => false,
    };
    if is_allowed {
        return Ok(());
    }
    let detail = format!("no retry permit for the call to {}", request.service);
    let refusal = CallRefusal::not_run(RefusalKind::RetriesExhausted, detail);
    Err(refusal.with_retry_after(CAPACITY_RETRY_AFTER))
}

fn finish_response(result: Result<IngressResponse, CallRefusal>) -> IngressResponse {
    match result {
        Ok(mut response) => {
            set_header(
                response.headers_mut(),
                OUTCOME_HEADER,
                RunOutcome::Run.into(),
            );
            response
        }
        Err(refusal) => {
            count_refusal(refusal.kind.into());
            refusal
                .to_response()
                .map(|body| ResponseBody::buffered(body, None))
        }
    }
}

fn unknown_context_refusal() -> CallRefusal {
    let detail = "the context belongs to no call that the target beside this daemon is running";
    CallRefusal::not_run(RefusalKind::ContextInvalid, detail)
}

fn parent_ended_refusal(service: &ServiceName) -> CallRefusal {
    let detail = format!("the parent call of the call to {service} has ended");
    CallRefusal::unknown(RefusalKind::DeadlineExceeded, detail)
}
