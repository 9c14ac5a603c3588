use {
    super::daemon_state::DaemonState,
    crate::{
        claims::IDEMPOTENCY_KEY_HEADER,
        net::{
            CallRefusal, CallRequest, RefusalKind, RequestError, parse_route, read_request,
            remove_daemon_headers, remove_hop_by_hop_headers,
        },
        policy::ClassRule,
        retry::RetrySafety,
    },
    http::{HeaderValue, Request, header::CONTENT_LENGTH},
    hyper::body::Incoming,
    rapidhash::fast::RapidHasher,
    std::{hash::Hasher, time::Duration},
};

/// Maximum time in which a request body must arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Reads a call with its complete body. Removes the headers that only daemons may set.
pub(super) async fn read_call(
    state: &DaemonState,
    request: Request<Incoming>,
) -> Result<CallRequest, CallRefusal> {
    let (mut head, body) = request.into_parts();
    let (service, path) = parse_route(&head.uri)
        .map_err(|error| CallRefusal::not_run(RefusalKind::BadRequest, error.to_string()))?;
    if !state.target_table().is_known(&service) && !state.policy().has_routes_for(&service) {
        let detail =
            format!("service {service} is neither announced by a target nor named by the policy");
        return Err(CallRefusal::not_run(RefusalKind::UnknownService, detail));
    }
    let limit = state.settings.limits.request_buffer_bytes;
    let body = read_request(body, limit, BODY_TIMEOUT)
        .await
        .map_err(|error| body_refusal(&error))?;
    remove_hop_by_hop_headers(&mut head.headers);
    remove_daemon_headers(&mut head.headers);
    head.headers.remove(CONTENT_LENGTH);
    Ok(CallRequest {
        method: head.method,
        service,
        path,
        headers: head.headers,
        body,
    })
}

/// Returns whether a call may run more than once. A call of a non-idempotent class is refused if it
/// has no idempotency key.
///
/// A call with a key is also non-idempotent if it is part of a request of a non-idempotent class,
/// whatever the class of its own route.
pub(super) fn retry_safety(
    rule: &ClassRule,
    request_rule: Option<&ClassRule>,
    request: &CallRequest,
) -> Result<RetrySafety, CallRefusal> {
    let is_keyed = request.headers.contains_key(IDEMPOTENCY_KEY_HEADER);
    let is_request_non_idempotent = request_rule.is_some_and(|rule| rule.non_idempotent);
    if is_keyed && (rule.non_idempotent || is_request_non_idempotent) {
        return Ok(RetrySafety::NonIdempotent);
    }
    if !rule.non_idempotent {
        return Ok(RetrySafety::Idempotent);
    }
    let detail = format!(
        "calls of class {} need the {IDEMPOTENCY_KEY_HEADER} header",
        rule.name
    );
    Err(CallRefusal::not_run(RefusalKind::KeyMissing, detail))
}

/// Hash of a call that a target makes. A retry has the fingerprint of the call that it retries.
pub(super) fn child_fingerprint(request: &CallRequest) -> u64 {
    let mut hasher = RapidHasher::default();
    let key = request
        .headers
        .get(IDEMPOTENCY_KEY_HEADER)
        .map(HeaderValue::as_bytes);
    let parts = [
        request.method.as_str().as_bytes(),
        request.service.as_str().as_bytes(),
        request.path.as_str().as_bytes(),
        key.unwrap_or_default(),
        &request.body,
    ];
    for part in parts {
        hasher.write_usize(part.len());
        hasher.write(part);
    }
    hasher.finish()
}

fn body_refusal(error: &RequestError) -> CallRefusal {
    let kind = match error {
        RequestError::TooLarge { .. } => RefusalKind::BodyTooLarge,
        RequestError::TooSlow { .. } => RefusalKind::BodyTimeout,
        RequestError::Broken(_) => RefusalKind::BadRequest,
        RequestError::NoMemory(_) => RefusalKind::Overload,
    };
    CallRefusal::not_run(kind, error.to_string())
}
