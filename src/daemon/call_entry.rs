use {
    super::{
        active_calls::{ActiveCall, ChildCall},
        call_intake::{fingerprint, read_call, run_safety},
        call_router::{CallRouter, RoutedAnswer, RoutedRefusal},
        daemon_options::DaemonPart,
        daemon_phase::DaemonPhase,
        daemon_state::{DaemonState, mint_call, mint_request},
        entry_records::{record_answered, record_cancelled, record_minted},
        in_flight_call::InFlightCall,
        metrics_recorder::count_refusal,
        permit_client::ask_permit,
        root_entry::RootEntry,
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

const DRAIN_RETRY: Duration = Duration::from_secs(1);
const ROOM_RETRY: Duration = Duration::from_secs(1);

pub(crate) type EntryAnswer = Response<ResponseBody<InFlightCall>>;

/// A user request that has entered.
struct EnteredRequest {
    request: CallRequest,
    context: CallContext,
    safety: RetrySafety,
    /// Retries across the whole chain.
    retries: u32,
}

/// Answers a caller from outside.
pub(crate) async fn serve_edge(state: Arc<DaemonState>, request: Request<Incoming>) -> EntryAnswer {
    let started = state.clock.now();
    let entered = match enter(&state, request, started).await {
        Ok(entered) => entered,
        Err(refusal) => return finish(Err(refusal)),
    };
    let result = run_entered(&state, &entered).await;
    record_answered(&state, &entered.context, &result, started);
    let mut answer = finish(into_answer(result));
    let id = entered.context.request.to_string();
    set_header(answer.headers_mut(), REQUEST_HEADER, &id);
    answer
}

/// Answers the target beside the daemon, which calls on.
pub(crate) async fn serve_local(
    state: Arc<DaemonState>,
    request: Request<Incoming>,
) -> EntryAnswer {
    let Some(value) = request.headers().get(CONTEXT_HEADER) else {
        return serve_edge(state, request).await;
    };
    let parent = value
        .to_str()
        .ok()
        .and_then(|text| CallContext::decode(text, state.clock.now()))
        .and_then(|context| state.active.get(context.request, context.call));
    match parent {
        Some(parent) => finish(descend(&state, &parent, request).await),
        None => finish(Err(context_refusal())),
    }
}

/// A call from outside becomes a request of its own.
async fn enter(
    state: &DaemonState,
    request: Request<Incoming>,
    started: TimePoint,
) -> Result<EnteredRequest, CallRefusal> {
    if state.phase() >= DaemonPhase::Draining {
        let refusal = CallRefusal::not_run(RefusalKind::Draining, "this daemon is leaving");
        return Err(refusal.with_retry_after(DRAIN_RETRY));
    }
    let request = read_call(state, request).await?;
    let policy = state.policy();
    let rule = request.rule(&policy);
    let safety = run_safety(rule, None, &request)?;
    let context = mint_context(state, rule, started);
    record_minted(state, &context, &request);
    Ok(EnteredRequest {
        request,
        context,
        safety,
        retries: policy.document.retry.per_request,
    })
}

async fn run_entered(
    state: &Arc<DaemonState>,
    entered: &EnteredRequest,
) -> Result<RoutedAnswer, RoutedRefusal> {
    let EnteredRequest {
        request, context, ..
    } = entered;
    pass_gate(state, context, request)?;
    let budget = RetryBudget::new(entered.retries, context.deadline);
    let root = RootEntry::open(state, context.request, budget).ok_or_else(|| {
        let detail = "too many requests are in flight at this daemon";
        let refusal = CallRefusal::not_run(RefusalKind::TooManyRequests, detail);
        refusal.with_retry_after(ROOM_RETRY)
    })?;
    let router = CallRouter::new(state, request, context, entered.safety).with_root(root);
    let result = router.run().await;
    note_gate(state, context, &request.service, &result);
    result
}

/// A call of the target becomes part of the request that it serves.
async fn descend(
    state: &Arc<DaemonState>,
    parent: &Arc<ActiveCall>,
    request: Request<Incoming>,
) -> Result<EntryAnswer, CallRefusal> {
    let request = read_call(state, request).await?;
    let Some(context) = parent.context.child(parent.context.call) else {
        let detail = format!("a call to {} is too deep in its chain", request.service);
        return Err(CallRefusal::not_run(RefusalKind::ChainTooDeep, detail));
    };
    let policy = state.policy();
    let rule = request.rule(&policy);
    let safety = run_safety(rule, policy.rule(&context.class), &request)?;
    pass_repeat(state, parent, &context, &request).await?;
    let router = CallRouter::new(state, &request, &context, safety);
    // Nobody waits for the answer once the parent has ended.
    let result = tokio::select! {
        result = router.run() => result,
        () = parent.cancelled.cancelled() => {
            record_cancelled(state, &context, "the calling call has ended");
            return Err(cancelled_refusal(&request.service));
        }
    };
    if let Some(threshold) = chain_threshold(&result) {
        parent.note_threshold(threshold);
    }
    into_answer(result)
}

fn into_answer(result: Result<RoutedAnswer, RoutedRefusal>) -> Result<EntryAnswer, CallRefusal> {
    result
        .map(|answer| answer.response)
        .map_err(|refused| refused.refusal)
}

fn mint_context(state: &DaemonState, rule: &ClassRule, started: TimePoint) -> CallContext {
    let request = mint_request();
    CallContext {
        request,
        call: mint_call(),
        class: rule.name.clone(),
        priority: CallPriority::new(rule.rank, request),
        depth: 0,
        deadline: started + rule.deadline,
        root: state.mesh_address,
    }
}

/// Sheds at the front what a service down the chain would refuse.
fn pass_gate(
    state: &DaemonState,
    context: &CallContext,
    request: &CallRequest,
) -> Result<(), CallRefusal> {
    if !state.options.is_on(DaemonPart::FrontGate) {
        return Ok(());
    }
    let now = state.clock.now();
    let mut gate = state.gate();
    if gate.is_admitted(now, &request.service, &context.class, context.priority) {
        return Ok(());
    }
    let refusal = gate.refusal(&mut rand::rng());
    let detail = format!("the chain below {} is overloaded", request.service);
    let refused = CallRefusal::not_run(RefusalKind::Overload, detail);
    Err(refused.with_retry_after(refusal.retry_after))
}

fn note_gate(
    state: &DaemonState,
    context: &CallContext,
    service: &ServiceName,
    result: &Result<RoutedAnswer, RoutedRefusal>,
) {
    if let Some(threshold) = chain_threshold(result) {
        state.note_threshold(service, &context.class, threshold);
    }
}

fn chain_threshold(result: &Result<RoutedAnswer, RoutedRefusal>) -> Option<CallPriority> {
    let load = match result {
        Ok(answer) => answer.load,
        Err(refused) => refused.load,
    };
    load.map(|load| load.chain_threshold)
}

/// A service that repeats a call of the same request needs a permit for it.
async fn pass_repeat(
    state: &Arc<DaemonState>,
    parent: &ActiveCall,
    context: &CallContext,
    request: &CallRequest,
) -> Result<(), CallRefusal> {
    let is_allowed = match parent.note_child(fingerprint(request)) {
        ChildCall::First => true,
        ChildCall::Repeat => ask_permit(state, context, &request.service).await,
        ChildCall::TooMany => false,
    };
    if is_allowed {
        return Ok(());
    }
    let detail = format!("no retry of a call to {} is left", request.service);
    let refusal = CallRefusal::not_run(RefusalKind::RetriesExhausted, detail);
    Err(refusal.with_retry_after(ROOM_RETRY))
}

fn finish(result: Result<EntryAnswer, CallRefusal>) -> EntryAnswer {
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
                .map(|body| ResponseBody::whole(body, None))
        }
    }
}

fn context_refusal() -> CallRefusal {
    let detail = "the context belongs to no call that the target beside this daemon is running";
    CallRefusal::not_run(RefusalKind::ContextInvalid, detail)
}

fn cancelled_refusal(service: &ServiceName) -> CallRefusal {
    let detail = format!("the call that waited for {service} has ended");
    CallRefusal::unknown(RefusalKind::DeadlineExceeded, detail)
}
