use {
    super::{
        claimed_call::run_claimed,
        daemon_phase::DaemonPhase,
        daemon_state::DaemonState,
        guarded_call::{GuardResponse, GuardedCall, set_feedback_headers},
        local_target::LocalTarget,
        mesh_client::MAX_MESSAGE_BYTES,
        mesh_transport::{PolicyRequest, PolicyResponse},
        permit_client::PermitRequest,
    },
    crate::{
        context::{CONTEXT_HEADER, CallContext, CallPriority, ServiceName},
        net::{
            CLAIM_HEADER, CLAIMS_PATH, CallRefusal, CallRequest, HOLDER_QUERY_PATH, MESH_PREFIX,
            PERMIT_PATH, POLICY_PATH, RefusalKind, ResponseBody, TAG_HEADER, is_valid_call_tag,
            is_valid_message_tag, parse_route, read_request, remove_daemon_headers,
        },
    },
    bytes::Bytes,
    http::{HeaderMap, Request, Response, StatusCode, header::CONTENT_LENGTH},
    hyper::body::Incoming,
    serde::{Serialize, de::DeserializeOwned},
    std::{sync::Arc, time::Duration},
};

/// Maximum time in which a body from another daemon must arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay before a retry if the target is absent or draining.
const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Serves a call or a message from another daemon.
pub(crate) async fn serve_mesh_call(
    state: Arc<DaemonState>,
    request: Request<Incoming>,
) -> GuardResponse {
    if request.uri().path().starts_with(MESH_PREFIX) {
        return serve_message(&state, request).await;
    }
    state.observe_stamp_header(request.headers());
    let mut response = match serve_call(&state, request).await {
        Ok(response) => response,
        Err(refusal) => refusal_response(&state, &refusal),
    };
    state.set_stamp_header(response.headers_mut());
    response
}

async fn serve_call(
    state: &Arc<DaemonState>,
    request: Request<Incoming>,
) -> Result<GuardResponse, CallRefusal> {
    let (mut head, body) = request.into_parts();
    let context = authenticate_context(state, &head)?;
    let (service, path) = parse_route(&head.uri)
        .map_err(|error| CallRefusal::not_run(RefusalKind::BadRequest, error.to_string()))?;
    let token = state.running_calls.token();
    let target = find_target(state, &service)?;
    let limit = state.settings.limits.request_buffer_bytes;
    let body = read_request(body, limit, BODY_TIMEOUT)
        .await
        .map_err(|error| CallRefusal::not_run(RefusalKind::BadRequest, error.to_string()))?;
    let is_claimed = head.headers.contains_key(CLAIM_HEADER);
    remove_daemon_headers(&mut head.headers);
    head.headers.remove(CONTENT_LENGTH);
    let call = GuardedCall {
        state: state.clone(),
        target,
        request: CallRequest {
            method: head.method,
            service,
            path,
            headers: head.headers,
            body,
        },
        context,
        token,
    };
    let policy = state.policy();
    let rule = call.request.rule(&policy);
    if rule.non_idempotent {
        run_claimed(call, rule.key_window).await
    } else if is_claimed {
        let class = policy.rule(&call.context.class).unwrap_or(rule);
        run_claimed(call, class.key_window).await
    } else {
        call.admit().await?.dispatch().await
    }
}

fn authenticate_context(
    state: &DaemonState,
    head: &http::request::Parts,
) -> Result<CallContext, CallRefusal> {
    let text = header_text(&head.headers, CONTEXT_HEADER).unwrap_or_default();
    let tag = header_text(&head.headers, TAG_HEADER).unwrap_or_default();
    let path = head.uri.path_and_query().map_or("", |path| path.as_str());
    if !is_valid_call_tag(&state.key, head.method.as_str(), path, text, tag) {
        metrics::counter!("banyantrestle_mesh_forbidden_total").increment(1);
        let detail = "the call has no valid authentication tag of this deployment";
        return Err(CallRefusal::not_run(RefusalKind::Forbidden, detail));
    }
    CallContext::decode(text, state.clock.now()).ok_or_else(|| {
        let detail = format!("header {CONTEXT_HEADER} cannot be decoded");
        CallRefusal::not_run(RefusalKind::ContextInvalid, detail)
    })
}

fn find_target(
    state: &DaemonState,
    service: &ServiceName,
) -> Result<Arc<LocalTarget>, CallRefusal> {
    let now = state.clock.now();
    let target = state
        .target
        .get()
        .filter(|target| target.announcement.service == *service)
        .ok_or_else(|| {
            let detail = format!("no target of {service} is announced here");
            CallRefusal::not_run(RefusalKind::NoTarget, detail)
                .with_retry_after(UNAVAILABLE_RETRY_AFTER)
        })?;
    if state.phase() >= DaemonPhase::Draining || !target.accepts_calls(now) {
        let detail = format!("the target of {service} is draining");
        let refusal = CallRefusal::not_run(RefusalKind::Draining, detail);
        return Err(refusal.with_retry_after(UNAVAILABLE_RETRY_AFTER));
    }
    Ok(target)
}

fn refusal_response(state: &DaemonState, refusal: &CallRefusal) -> GuardResponse {
    let mut response = refusal.to_response();
    let load = state.load_feedback(CallPriority::LOWEST);
    set_feedback_headers(response.headers_mut(), refusal.outcome, load);
    response.map(|body| ResponseBody::buffered(body, None))
}

async fn serve_message(state: &Arc<DaemonState>, request: Request<Incoming>) -> GuardResponse {
    let (head, body) = request.into_parts();
    let path = head.uri.path();
    let tag = header_text(&head.headers, TAG_HEADER).unwrap_or_default();
    let Ok(body) = read_request(body, MAX_MESSAGE_BYTES, BODY_TIMEOUT).await else {
        return message_response(StatusCode::BAD_REQUEST, Bytes::new());
    };
    if !is_valid_message_tag(&state.key, path, &body, tag) {
        metrics::counter!("banyantrestle_mesh_forbidden_total").increment(1);
        return message_response(StatusCode::FORBIDDEN, Bytes::new());
    }
    let response = match path {
        PERMIT_PATH => handle_message(&body, |message: PermitRequest| {
            state.acquire_permit(message.request)
        }),
        POLICY_PATH => handle_message(&body, |_: PolicyRequest| PolicyResponse {
            policy: state.policy().compressed().clone(),
        }),
        CLAIMS_PATH => match postcard::from_bytes(&body) {
            Ok(message) => encode_response(&state.claims.serve_commit(message).await),
            Err(_) => None,
        },
        HOLDER_QUERY_PATH => match postcard::from_bytes(&body) {
            Ok(message) => encode_response(&state.claims.serve_query(message).await),
            Err(_) => None,
        },
        _ => None,
    };
    match response {
        Some(response) => message_response(StatusCode::OK, response),
        None => message_response(StatusCode::BAD_REQUEST, Bytes::new()),
    }
}

fn handle_message<Q, R, F>(body: &[u8], handler: F) -> Option<Bytes>
where
    Q: DeserializeOwned,
    R: Serialize,
    F: FnOnce(Q) -> R,
{
    let message = postcard::from_bytes(body).ok()?;
    encode_response(&handler(message))
}

fn encode_response<R: Serialize>(response: &R) -> Option<Bytes> {
    let encoded = postcard::to_allocvec(response).ok()?;
    Some(encoded.into())
}

fn message_response(status: StatusCode, body: Bytes) -> GuardResponse {
    let mut response = Response::new(ResponseBody::buffered(body, None));
    *response.status_mut() = status;
    response
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
