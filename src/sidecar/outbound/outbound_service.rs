use {
    super::{
        super::{
            CallerCredential, FailureCause, HopContext, MAX_CALL_DEPTH, PlatformAdapter,
            RouteConfig, RouteRule,
            account_gate::{RequestAccount, check_credential},
            attempt_report::RelayBody,
            call_table::{MAX_TARGET_DELAY, parent_ids},
            forwarded_call::{ForwardedCall, header_text, request_host},
            local_response::{RequestFailure, local_response},
            parent_recovery::recover_parent,
            running_calls::RunningCall,
            running_request::RunningRequest,
            sidecar_state::{SidecarPhase, SidecarState},
        },
        answer_body::AnswerBody,
        call_forwarding::{CallOrigin, OutboundCall, forward_with_retries, record_timeout},
        outbound_log::{report_crashing_request, report_local_response},
        owed_answer::OwedAnswer,
        request_admission::{RequestRefusal, RootRequest, admit_account, admit_request},
        retry_delay::{DEFAULT_RETRY_DELAY, retry_after},
    },
    crate::{
        context::ServiceName,
        net::{
            BudgetRefusal, RequestArrival, RequestError, ResponseBody, STREAM_WINDOW_BYTES,
            SegmentedBody, discard_request, read_reserved_request,
        },
        time::TimePoint,
    },
    futures_util::FutureExt,
    http::{
        HeaderValue, Request, Response,
        header::{CONNECTION, CONTENT_LENGTH, EXPECT},
        request::Parts,
    },
    hyper::body::{Body, Incoming},
    rand::RngExt,
    std::{panic::AssertUnwindSafe, sync::Arc, time::Duration},
    tokio::time::{Instant, timeout_at},
};

/// Maximum time for which the rest of a body is read that was refused for lack of memory.
const MAX_DISCARD_TIME: Duration = Duration::from_secs(2);

/// A call whose route is known.
struct MatchedCall {
    config: Arc<RouteConfig>,
    rule: Arc<RouteRule>,
    arrived_at: TimePoint,
    /// Earliest deadline that the caller and the route allow.
    deadline: TimePoint,
    /// Whether the caller names a deadline.
    names_deadline: bool,
}

/// A call whose parent or account is known.
struct RoutedCall {
    config: Arc<RouteConfig>,
    rule: Arc<RouteRule>,
    /// Call that the local target is running and makes this call for; `None` if the call starts a
    /// chain.
    parent: Option<Arc<RunningCall>>,
    /// Account of a call that starts a chain and carries a key.
    account: Option<RequestAccount>,
    arrived_at: TimePoint,
    /// Earliest deadline that the caller, the route and the parent allow.
    deadline: TimePoint,
    deadline_instant: Instant,
}

impl RoutedCall {
    /// Rank by the account and the route.
    fn rank(&self) -> u8 {
        let account = self.account.as_ref().map(|account| &*account.rule);
        self.config.request_rank(&self.rule, account)
    }

    fn origin(&self) -> CallOrigin<'_> {
        CallOrigin {
            rule: &self.rule,
            rank: self.rank(),
            parent: self.parent.as_deref(),
        }
    }
}

/// Response of the sidecar itself to a call that is not forwarded.
struct LocalAnswer {
    failure: RequestFailure,
    retry_after: Option<Duration>,
    /// Whether the reason has been logged.
    is_reported: bool,
}

impl From<RequestFailure> for LocalAnswer {
    fn from(failure: RequestFailure) -> Self {
        Self {
            failure,
            retry_after: None,
            is_reported: false,
        }
    }
}

impl From<RequestRefusal> for LocalAnswer {
    fn from(refusal: RequestRefusal) -> Self {
        Self {
            failure: refusal.failure,
            retry_after: Some(refusal.retry_after),
            is_reported: true,
        }
    }
}

impl LocalAnswer {
    fn with_delay(self, delay: Duration) -> Self {
        Self {
            retry_after: Some(delay),
            ..self
        }
    }

    fn reported(self) -> Self {
        Self {
            is_reported: true,
            ..self
        }
    }
}

/// Serves the callers on the VM and the local target's own calls.
///
/// A pipelined request has arrived while the one before it was handled, and its time runs from
/// then.
pub(crate) async fn serve_outbound<P: PlatformAdapter>(
    state: Arc<SidecarState<P>>,
    request: Request<Incoming>,
    arrival: RequestArrival,
) -> Response<AnswerBody<P>> {
    let arrived_at = arrival.arrived_at;
    let _token = state.in_flight.token();
    let id = header_text(request.headers(), &state.platform.headers().request_id);
    let id = id.unwrap_or_default().to_owned();
    let answer = OwedAnswer::new(state.clone(), arrival.caller(), &id, arrived_at);
    let handling = handle_request(&state, request, &id, &answer, arrived_at);
    let handled = AssertUnwindSafe(handling).catch_unwind().await;
    let mut response = handled.unwrap_or_else(|_| respond_after_panic(&state, &id, &answer));
    if state.phase() >= SidecarPhase::Draining {
        let headers = response.headers_mut();
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    let status = response.status().as_u16().to_string();
    let elapsed = state.clock.now().since(arrived_at);
    metrics::histogram!("banyantrestle_outbound_seconds", "status" => status).record(elapsed);
    response.map(|body| AnswerBody::new(body, answer))
}

async fn handle_request<P: PlatformAdapter>(
    state: &Arc<SidecarState<P>>,
    request: Request<Incoming>,
    id: &str,
    owed: &OwedAnswer<P>,
    arrived_at: TimePoint,
) -> Response<RelayBody> {
    let names = state.platform.headers();
    let (head, body) = request.into_parts();
    let result = match match_route(state, &head, arrived_at) {
        Ok(matched) => serve_until_deadline(state, matched, owed, id, (head, body)).await,
        Err(answer) => Err(answer),
    };
    result.unwrap_or_else(|answer| {
        if !answer.is_reported {
            report_local_response(state, id, answer.failure);
        }
        local_response(answer.failure, id, answer.retry_after, names)
    })
}

/// Response to a request whose handler has panicked, which the panic hook reports.
fn respond_after_panic<P: PlatformAdapter>(
    state: &SidecarState<P>,
    id: &str,
    owed: &OwedAnswer<P>,
) -> Response<RelayBody> {
    let (failure, delay) = if owed.is_owed() {
        (RequestFailure::Unknown, None)
    } else {
        (RequestFailure::NotRun, Some(DEFAULT_RETRY_DELAY))
    };
    report_local_response(state, id, failure);
    local_response(failure, id, delay, state.platform.headers())
}

/// Finds the route of a call.
fn match_route<P: PlatformAdapter>(
    state: &SidecarState<P>,
    head: &Parts,
    arrived_at: TimePoint,
) -> Result<MatchedCall, LocalAnswer> {
    let no_config = || LocalAnswer::from(RequestFailure::NoConfig).with_delay(DEFAULT_RETRY_DELAY);
    let config = state.config().ok_or_else(no_config)?;
    let rule = config.find(request_host(head), head.uri.path()).cloned();
    let rule = rule.ok_or(RequestFailure::NoRoute)?;
    let names = state.platform.headers();
    let text = header_text(&head.headers, &names.deadline_ms);
    let millis = text.and_then(|text| text.parse().ok());
    let timeout = millis.map_or(rule.timeout, Duration::from_millis);
    Ok(MatchedCall {
        deadline: arrived_at + timeout.min(rule.timeout),
        names_deadline: millis.is_some(),
        config,
        rule,
        arrived_at,
    })
}

/// Serves a call until its deadline. All that a call waits for, it waits for within this function.
async fn serve_until_deadline<P: PlatformAdapter>(
    state: &Arc<SidecarState<P>>,
    matched: MatchedCall,
    owed: &OwedAnswer<P>,
    id: &str,
    request: (Parts, Incoming),
) -> Result<Response<RelayBody>, LocalAnswer> {
    let (rule, arrived_at) = (matched.rule.clone(), matched.arrived_at);
    let deadline = state.clock.instant_of(matched.deadline);
    // Counts how a call ends that starts a chain.
    let mut tallied = None;
    let serving = async {
        let (head, body) = request;
        let routed = find_origin(state, matched, deadline, &head, id).await?;
        if routed.parent.is_none() {
            tallied = Some(state.tally.start(&rule.name));
        }
        run_call(state, routed, owed, head, body).await
    };
    let result = timeout_at(deadline, serving).await.unwrap_or_else(|_| {
        if owed.is_owed() {
            return Err(RequestFailure::DeadlinePassed.into());
        }
        let answer = LocalAnswer::from(RequestFailure::NotRun);
        Err(answer.with_delay(retry_after(&rule, DEFAULT_RETRY_DELAY)))
    });
    if let Some(tallied) = tallied {
        let elapsed = state.clock.now().since(arrived_at);
        let ended = result.as_ref().map_err(|answer| answer.failure);
        tallied.finish(ended, elapsed, rule.latency_objective);
    }
    result
}

/// Finds the parent or the account of a call.
async fn find_origin<P: PlatformAdapter>(
    state: &Arc<SidecarState<P>>,
    matched: MatchedCall,
    deadline_instant: Instant,
    head: &Parts,
    id: &str,
) -> Result<RoutedCall, LocalAnswer> {
    let parent = find_parent(state, &matched, head, id).await?;
    let deadline = call_deadline(&matched, parent.as_deref());
    let MatchedCall {
        config,
        rule,
        arrived_at,
        ..
    } = matched;
    let account = if parent.is_some() {
        None
    } else {
        check_credential(state, &config, &rule, &head.headers).map_err(|refusal| {
            let failure = RequestFailure::from(refusal);
            let answer = LocalAnswer::from(failure);
            if failure == RequestFailure::KeyUnproven {
                answer.with_delay(retry_after(&rule, DEFAULT_RETRY_DELAY))
            } else {
                answer
            }
        })?
    };
    if state.clock.now() >= deadline {
        let answer = LocalAnswer::from(RequestFailure::NotRun);
        return Err(answer.with_delay(retry_after(&rule, DEFAULT_RETRY_DELAY)));
    }
    Ok(RoutedCall {
        config,
        rule,
        parent,
        account,
        arrived_at,
        deadline,
        deadline_instant: deadline_instant.min(state.clock.instant_of(deadline)),
    })
}

/// Finds the call that the local target makes a call for; `None` if the call starts a chain.
async fn find_parent<P: PlatformAdapter>(
    state: &Arc<SidecarState<P>>,
    matched: &MatchedCall,
    head: &Parts,
    id: &str,
) -> Result<Option<Arc<RunningCall>>, LocalAnswer> {
    let MatchedCall { config, rule, .. } = matched;
    // Calls of targets carry no key, so a caller that sends one can't pass for a target.
    let has_key = config.accounts.is_some()
        && state.platform.read_credential(&head.headers) != CallerCredential::Missing;
    if has_key {
        return Ok(None);
    }
    let parent = state.running.parent_of(state.clock.now(), id);
    let needs_key = config.accounts.is_some() && !rule.is_public;
    let is_known = parent.is_some()
        || !needs_key
        || parent_ids(id).next().is_none()
        || !state.may_lack_parents(config.longest_timeout);
    if is_known {
        return Ok(parent);
    }
    let recovered = recover_parent(state, id).await;
    recovered.map(Some).ok_or_else(|| {
        let answer = LocalAnswer::from(RequestFailure::ParentUnknown);
        answer.with_delay(retry_after(rule, DEFAULT_RETRY_DELAY))
    })
}

/// Reads, admits and forwards a call.
async fn run_call<P: PlatformAdapter>(
    state: &Arc<SidecarState<P>>,
    routed: RoutedCall,
    owed: &OwedAnswer<P>,
    head: Parts,
    body: Incoming,
) -> Result<Response<RelayBody>, LocalAnswer> {
    let names = state.platform.headers();
    let started_at = state.clock.now();
    let time_left = started_at.until(routed.deadline);
    let mut phase = state.phase.subscribe();
    let reading = read_body(
        state,
        &head,
        body,
        routed.config.limits.body_bytes,
        time_left,
    );
    let body = tokio::select! {
        body = reading => body.map_err(|failure| read_failure(failure, &routed.rule))?,
        _ = phase.wait_for(|phase| *phase == SidecarPhase::Stopping) => {
            return Err(RequestFailure::BodyLate.into());
        }
    };
    let mut call = ForwardedCall::new(head, body, names);
    if routed.config.accounts.is_some() {
        call.remove_credential(names);
    }
    let buffers = state
        .body_budget
        .try_reserve_buffers(STREAM_WINDOW_BYTES as usize)
        .map_err(|_| read_failure(RequestFailure::NoMemory, &routed.rule))?;
    let mut context = build_context(state, &routed).ok_or(RequestFailure::TooDeep)?;
    let caller = context.caller_identity();
    if let Some(digest) = state.crash_watch.refused_digest(&call, &caller) {
        report_crashing_request(state, &call, &routed.rule, digest);
        return Err(LocalAnswer::from(RequestFailure::CrashesTargets).reported());
    }
    let service = context.service.clone();
    let mut admission = None;
    if routed.parent.is_none() {
        let root = RootRequest {
            id: &call.id,
            config: &routed.config,
            rule: &routed.rule,
            service: &service,
            account: routed.account.as_ref(),
        };
        let mut credit = tokio::select! {
            credit = admit_account(state, root) => credit?,
            _ = phase.wait_for(|phase| *phase == SidecarPhase::Stopping) => {
                return Err(LocalAnswer::from(RequestFailure::ShuttingDown)
                    .with_delay(Duration::ZERO));
            }
        };
        let admitted = admit_request(state, root, started_at)?;
        context.rank = admitted.queue_rank;
        if let Some(credit) = &mut credit {
            credit.spend();
        }
        admission = Some((admitted, credit));
    }
    let outbound = OutboundCall {
        call: &call,
        owed,
        origin: routed.origin(),
        account: routed.account.clone(),
        context,
    };
    let result = forward_until_deadline(state, outbound, &routed, &service).await;
    match result {
        Ok(mut response) => {
            response.body_mut().hold_buffers(buffers);
            if let Some((admitted, _)) = &mut admission
                && response.status().is_success()
            {
                admitted.record_success(routed.arrived_at, &routed.rule);
            }
            Ok(response)
        }
        Err(failure) => {
            if let Some((_, Some(credit))) = &mut admission
                && failure.has_not_run()
            {
                credit.keep_unspent();
            }
            let delay = failure_delay(state, failure, &routed.rule, &service);
            Err(LocalAnswer {
                retry_after: delay,
                ..failure.into()
            })
        }
    }
}

/// Forwards a call until its deadline or the end of the sidecar's shutdown.
async fn forward_until_deadline<P: PlatformAdapter>(
    state: &Arc<SidecarState<P>>,
    outbound: OutboundCall<'_, P>,
    routed: &RoutedCall,
    service: &ServiceName,
) -> Result<Response<RelayBody>, RequestFailure> {
    let mut phase = state.phase.subscribe();
    let drain_deadline = phase.wait_for(|phase| *phase == SidecarPhase::Stopping);
    let mut cause = None;
    let is_root = routed.parent.is_none();
    let running = is_root.then(|| RunningRequest::start(state, &routed.rule.name));
    let forwarding = timeout_at(
        routed.deadline_instant,
        forward_with_retries(state, outbound, &mut cause),
    );
    let result = tokio::select! {
        result = forwarding => result,
        _ = drain_deadline => return Err(RequestFailure::Unknown),
    };
    if let Some(running) = running {
        running.finish(response_end(state, routed, &result));
    }
    if result.is_err() {
        let elapsed = routed.arrived_at.until(routed.deadline);
        record_timeout(state, routed.origin(), service, elapsed);
        let failure = RequestFailure::DeadlinePassed;
        cause = Some(FailureCause::new(service, failure.into()));
    }
    if let Some(parent) = &routed.parent
        && let Some(cause) = cause
    {
        parent.record_failure(cause);
    }
    result.unwrap_or(Err(RequestFailure::DeadlinePassed))
}

/// End of a request that has a result. One whose response is relayed as it arrives is taken to last
/// until its deadline.
fn response_end<P: PlatformAdapter, E>(
    state: &SidecarState<P>,
    routed: &RoutedCall,
    result: &Result<Result<Response<RelayBody>, RequestFailure>, E>,
) -> TimePoint {
    let is_streamed = matches!(result, Ok(Ok(response))
        if matches!(response.body(), ResponseBody::Streamed(_)));
    if is_streamed {
        routed.deadline
    } else {
        state.clock.now()
    }
}

/// The earliest deadline that the caller, the route and the parent call allow. A target that names a
/// deadline has shortened it to that of the parent call, by its own count.
fn call_deadline(matched: &MatchedCall, parent: Option<&RunningCall>) -> TimePoint {
    let Some(parent) = parent else {
        return matched.deadline;
    };
    let parent_deadline = parent.context.deadline;
    matched.deadline.min(if matched.names_deadline {
        parent_deadline + MAX_TARGET_DELAY
    } else {
        parent_deadline
    })
}

fn build_context<P: PlatformAdapter>(
    state: &SidecarState<P>,
    routed: &RoutedCall,
) -> Option<HopContext> {
    let rule = &routed.rule;
    let service = rule.choose_service(rand::rng().random())?.clone();
    let parent_context = routed.parent.as_ref().map(|parent| &parent.context);
    let depth = parent_context.map_or(0, |parent_context| parent_context.depth + 1);
    let account = routed.account.as_ref();
    let name = account.map(|account| account.rule.name.clone());
    (depth <= MAX_CALL_DEPTH).then(|| HopContext {
        service,
        caller: state.settings.service.clone(),
        rank: parent_context.map_or_else(|| routed.rank(), |parent_context| parent_context.rank),
        root_start: parent_context.map_or(routed.arrived_at, |parent_context| {
            parent_context.root_start
        }),
        deadline: routed.deadline,
        depth,
        earlier_attempts: 0,
        is_inherited_retry: parent_context.is_some_and(HopContext::is_retry),
        is_idempotent: rule.is_idempotent(),
        account: parent_context.map_or(name, |parent_context| parent_context.account.clone()),
        key_valid_until: account.map(|account| account.valid_until),
    })
}

/// Reads a whole body; fails at once if the declared length exceeds the limit.
async fn read_body<P: PlatformAdapter>(
    state: &SidecarState<P>,
    head: &Parts,
    mut body: Incoming,
    limit: usize,
    timeout: Duration,
) -> Result<SegmentedBody, RequestFailure> {
    let length = header_text(&head.headers, &CONTENT_LENGTH);
    let length: Option<usize> = length.and_then(|text| text.parse().ok());
    if length.is_some_and(|length| length > limit) {
        return Err(RequestFailure::BodyTooLarge);
    }
    if body.is_end_stream() {
        return Ok(SegmentedBody::default());
    }
    let result = read_reserved_request(&mut body, limit, timeout, &state.body_budget).await;
    result.map_err(|error| match error {
        RequestError::TooLarge { .. } => RequestFailure::BodyTooLarge,
        RequestError::TooSlow { .. } | RequestError::Broken(_) => RequestFailure::BodyLate,
        RequestError::NoMemory(refusal) => {
            // A caller that waits for the bytes to be read is sent the response only.
            if !head.headers.contains_key(EXPECT) {
                tokio::spawn(discard_request(body, timeout.min(MAX_DISCARD_TIME)));
            }
            match refusal {
                BudgetRefusal::Full => RequestFailure::NoMemory,
                BudgetRefusal::TooLarge => RequestFailure::BodyTooLarge,
            }
        }
    })
}

/// Response to a request whose body was not read.
fn read_failure(failure: RequestFailure, rule: &RouteRule) -> LocalAnswer {
    let answer = LocalAnswer::from(failure);
    if failure == RequestFailure::NoMemory {
        answer.with_delay(retry_after(rule, DEFAULT_RETRY_DELAY))
    } else {
        answer
    }
}

/// Retry delay of a caller whose request has failed; `None` if it may have run.
fn failure_delay<P: PlatformAdapter>(
    state: &SidecarState<P>,
    failure: RequestFailure,
    rule: &RouteRule,
    service: &ServiceName,
) -> Option<Duration> {
    if failure == RequestFailure::ShuttingDown {
        // Other sidecars serve the caller at once.
        return Some(Duration::ZERO);
    }
    let now = state.clock.now();
    failure.is_temporary().then(|| {
        let delay = state.peers().rate_limit_delay(now, service, true);
        retry_after(rule, delay.unwrap_or(DEFAULT_RETRY_DELAY))
    })
}
