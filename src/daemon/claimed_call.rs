use {
    super::{
        daemon_state::DaemonState,
        guarded_call::{AdmittedCall, GuardResponse, GuardedCall, set_feedback_headers},
    },
    crate::{
        claims::{
            CallFingerprint, ClaimDecision, ClaimKey, ClaimRequest, ClaimToken,
            IDEMPOTENCY_KEY_HEADER, IdempotencyKey, JoinedCall, JoinedOutcome, RecordedHeader,
            RecordedResponse, RunningClaim, UnknownCause,
        },
        context::{CallContext, CallPriority, RunOutcome, ServiceName},
        events::EventKind,
        net::{CallRefusal, CallRequest, RefusalKind, ResponseBody},
    },
    bytes::Bytes,
    http::{HeaderName, HeaderValue, Response, StatusCode},
    std::{sync::Arc, time::Duration},
    tokio::time::timeout_at,
};

/// Delay before a retry while an earlier call with the same key still runs.
const RUNNING_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Runs a non-idempotent call at most once per idempotency key.
///
/// A call that the guard would refuse is refused before its claim, so that it puts no load on
/// the table service. The slot is acquired after the claim, so that no slot is idle while the table
/// service commits.
pub(crate) async fn run_claimed(
    call: GuardedCall,
    window: Duration,
) -> Result<GuardResponse, CallRefusal> {
    let state = call.state.clone();
    let context = call.context.clone();
    let request = claim_request(&call.request, &context, window)?;
    let service = call.request.service.clone();
    call.check()?;
    let decision = state.claims.begin(request).await;
    record_claim(&state, &context, &service, &decision);
    match decision {
        ClaimDecision::Won(token) => match call.admit().await {
            Ok(admitted) => dispatch_claimed(state, admitted, token).await,
            Err(refusal) => {
                state.claims.release(token);
                record_released(&state, &context, &service);
                Err(refusal)
            }
        },
        ClaimDecision::Replay(recorded) => Ok(replay_response(&state, &recorded)),
        ClaimDecision::Joined(joined) => await_joined(&state, &context, joined).await,
        ClaimDecision::Unknown(cause) => Err(unknown_refusal(cause)),
        ClaimDecision::Mismatch => Err(mismatch_refusal()),
        ClaimDecision::Unavailable { retry_after } => Err(unavailable_refusal(retry_after)),
    }
}

fn claim_request(
    request: &CallRequest,
    context: &CallContext,
    window: Duration,
) -> Result<ClaimRequest, CallRefusal> {
    let key = request
        .headers
        .get(IDEMPOTENCY_KEY_HEADER)
        .and_then(|value| value.to_str().ok())
        .ok_or_else(|| {
            let detail = format!("the call needs the {IDEMPOTENCY_KEY_HEADER} header");
            CallRefusal::not_run(RefusalKind::KeyMissing, detail)
        })?;
    let key = IdempotencyKey::new(key)
        .map_err(|error| CallRefusal::not_run(RefusalKind::BadRequest, error.to_string()))?;
    let fingerprint = CallFingerprint::of(
        request.method.as_str(),
        request.path.as_str(),
        &request.body,
    );
    Ok(ClaimRequest {
        key: ClaimKey {
            service: request.service.clone(),
            key,
        },
        fingerprint,
        request: context.request,
        deadline: context.deadline,
        window,
    })
}

/// Sends the call to the target in a separate task, so that the response is recorded even if the
/// caller disconnects.
async fn dispatch_claimed(
    state: Arc<DaemonState>,
    admitted: AdmittedCall,
    token: ClaimToken,
) -> Result<GuardResponse, CallRefusal> {
    let running = match token.dispatch(state.clock.now()) {
        Ok(running) => running,
        Err(token) => {
            state.claims.release(token);
            let detail = "deadline passed before the claimed call was sent to the target";
            return Err(CallRefusal::not_run(RefusalKind::DeadlineExceeded, detail));
        }
    };
    let task = tokio::spawn(async move {
        let result = admitted.dispatch().await;
        finish_claim(&state, running, &result);
        result
    });
    task.await.unwrap_or_else(|error| {
        let detail = format!("the task that runs the call failed: {error}");
        Err(CallRefusal::unknown(RefusalKind::ResponseBroken, detail))
    })
}

fn finish_claim(
    state: &DaemonState,
    running: RunningClaim,
    result: &Result<GuardResponse, CallRefusal>,
) {
    match result {
        Ok(response) => match record_response(response) {
            Some(recorded) => state.claims.complete(running, recorded),
            None => state.claims.fail(running),
        },
        Err(refusal) if refusal.outcome == RunOutcome::NotRun => {
            state.claims.release_unsent(running);
        }
        Err(_) => state.claims.fail(running),
    }
}

/// Copies the response for retries of the call. Returns `None` if the response is streamed.
fn record_response(response: &GuardResponse) -> Option<RecordedResponse> {
    let body = response.body().buffered_data()?;
    let headers = response
        .headers()
        .iter()
        .map(|(name, value)| RecordedHeader {
            name: name.as_str().to_owned(),
            value: value.as_bytes().to_vec(),
        });
    Some(RecordedResponse {
        status: response.status().as_u16(),
        headers: headers.collect(),
        body: body.as_ref().into(),
    })
}

fn replay_response(state: &DaemonState, recorded: &RecordedResponse) -> GuardResponse {
    let body = Bytes::copy_from_slice(&recorded.body);
    let mut response = Response::new(ResponseBody::buffered(body, None));
    *response.status_mut() = StatusCode::from_u16(recorded.status).unwrap_or(StatusCode::OK);
    for header in recorded.headers.iter() {
        let name = HeaderName::try_from(&header.name);
        let value = HeaderValue::from_bytes(&header.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            response.headers_mut().append(name, value);
        }
    }
    let load = state.load_feedback(CallPriority::LOWEST);
    set_feedback_headers(response.headers_mut(), RunOutcome::Run, load);
    response
}

async fn await_joined(
    state: &DaemonState,
    context: &CallContext,
    joined: JoinedCall,
) -> Result<GuardResponse, CallRefusal> {
    let deadline = state.clock.instant_of(context.deadline);
    match timeout_at(deadline, joined.outcome()).await {
        Ok(JoinedOutcome::Completed(recorded)) => Ok(replay_response(state, &recorded)),
        Ok(JoinedOutcome::Unknown(cause)) => Err(unknown_refusal(cause)),
        Ok(JoinedOutcome::Mismatch) => Err(mismatch_refusal()),
        Ok(JoinedOutcome::NotRun { retry_after }) => Err(unavailable_refusal(retry_after)),
        Err(_) => Err(unknown_refusal(UnknownCause::StillRunning)),
    }
}

fn unknown_refusal(cause: UnknownCause) -> CallRefusal {
    let detail = format!(
        "the idempotency key was used before, and the outcome of that call is unknown: {cause}"
    );
    let refusal = CallRefusal::unknown(RefusalKind::KeyUnknown, detail);
    match cause {
        UnknownCause::StillRunning | UnknownCause::TooManyWaiters => {
            refusal.with_retry_after(RUNNING_RETRY_AFTER)
        }
        _ => refusal,
    }
}

fn mismatch_refusal() -> CallRefusal {
    let detail = "the idempotency key was used for a call with another method, path or body";
    CallRefusal::not_run(RefusalKind::KeyMismatch, detail)
}

fn unavailable_refusal(retry_after: Duration) -> CallRefusal {
    let detail =
        "the idempotency key could not be claimed at the table service; the call was not sent";
    CallRefusal::not_run(RefusalKind::ClaimUnavailable, detail).with_retry_after(retry_after)
}

fn record_released(state: &DaemonState, context: &CallContext, service: &ServiceName) {
    state.events.record(EventKind::ClaimReleased {
        request: context.request,
        call: context.call,
        service: service.clone(),
    });
}

fn record_claim(
    state: &DaemonState,
    context: &CallContext,
    service: &ServiceName,
    decision: &ClaimDecision,
) {
    let request = context.request;
    let call = context.call;
    let service = service.clone();
    state.events.record(match decision {
        ClaimDecision::Won(_) => EventKind::ClaimWon {
            request,
            call,
            service,
        },
        ClaimDecision::Unknown(cause) => EventKind::ClaimUnknown {
            request,
            call,
            service,
            reason: <&'static str>::from(*cause).into(),
        },
        ClaimDecision::Replay(_)
        | ClaimDecision::Joined(_)
        | ClaimDecision::Mismatch
        | ClaimDecision::Unavailable { .. } => EventKind::ClaimLost {
            request,
            call,
            service,
        },
    });
}
