use {
    super::{
        FailureCause, HopContext, HopFormat, PeerOutcome, PlatformAdapter, PressureReport,
        TargetLoad, TreeCost,
        account_gate::PROOF_HEADER,
        attempt_report::{
            ATTEMPT_FAILURE_HEADER, AttemptFailure, AttemptReport, ONLY_PEER_HEADER, RelayBody,
        },
        failure_cause::CAUSE_HEADER,
        forwarded_call::ForwardedCall,
        inbound_service::run_on_local_target,
        load_header::LOAD_HEADER,
        pressure_report::PRESSURE_HEADER,
        request_log::LineCategory,
        sent_call::SentCall,
        sidecar_state::SidecarState,
        target_incarnation::TargetIncarnation,
        tree_cost::TREE_COST_HEADER,
    },
    crate::{
        context::ServiceName,
        net::{ResponseBody, ResponsePrefix, SendFailure, SilenceWatch, read_reserved_response},
    },
    http::{HeaderMap, Response},
    hyper::body::Incoming,
    std::{net::SocketAddr, ops::ControlFlow, sync::Arc, time::Duration},
};

/// Bytes of a response that are buffered before relaying starts.
pub(crate) const MAX_BUFFERED_RESPONSE_BYTES: usize = 256 * 1024;
/// Time beyond the deadline after which the pool times out a call; its caller has cancelled it by
/// then.
const POOL_TIMEOUT_MARGIN: Duration = Duration::from_secs(1);

/// Call that the peer table counts as in flight; on drop its outcome is recorded as inconclusive.
struct InFlightGuard<'a, P: PlatformAdapter> {
    state: &'a SidecarState<P>,
    service: &'a ServiceName,
    peer: SocketAddr,
    is_finished: bool,
}

impl<P: PlatformAdapter> InFlightGuard<'_, P> {
    fn finish(&mut self, outcome: PeerOutcome, load: Option<TargetLoad>) {
        self.is_finished = true;
        let now = self.state.clock.now();
        let mut peers = self.state.peers();
        peers.record_outcome(now, self.service, self.peer, outcome, load);
    }
}

impl<P: PlatformAdapter> Drop for InFlightGuard<'_, P> {
    fn drop(&mut self) {
        if !self.is_finished {
            self.finish(PeerOutcome::Inconclusive, None);
        }
    }
}

/// Sends a call to the target of `peer`, the sidecar that was chosen for it. `has_alternative` tells
/// whether the call need not wait for a peer that is silent.
pub(crate) async fn send_attempt<P: PlatformAdapter, F: Fn() -> bool>(
    state: &Arc<SidecarState<P>>,
    call: &ForwardedCall,
    context: &HopContext,
    peer: SocketAddr,
    has_alternative: F,
) -> AttemptReport {
    let mut guard = InFlightGuard {
        state,
        service: &context.service,
        peer,
        is_finished: false,
    };
    let report = if peer == state.settings.listen.mesh {
        run_on_local_target(state, call, context).await
    } else {
        let sent_call = SentCall {
            peer,
            context: context.clone(),
        };
        let sent = state.sent.insert(&call.id, sent_call);
        let report = send_to_peer(state, call, context, peer, has_alternative).await;
        if report.is_target_done() {
            sent.finish();
        }
        report
    };
    guard.finish(peer_outcome(&report), report.load);
    report
}

/// What the result of an attempt says about the target.
fn peer_outcome(report: &AttemptReport) -> PeerOutcome {
    match &report.result {
        // A failed or slow child call says nothing about the target itself.
        Ok(response) if response.status().is_server_error() && !report.has_child_calls() => {
            PeerOutcome::Failed
        }
        Err(AttemptFailure::DeadlinePassed) if report.has_child_calls() => {
            PeerOutcome::Inconclusive
        }
        Ok(_) => PeerOutcome::Responded,
        Err(AttemptFailure::PeerUnreachable | AttemptFailure::PeerConnectionBroken) => {
            PeerOutcome::Unreachable
        }
        Err(
            AttemptFailure::NoTarget
            | AttemptFailure::TargetClosed
            | AttemptFailure::TargetStalled
            | AttemptFailure::TargetConnectFailed
            | AttemptFailure::TargetCrashed,
        ) => PeerOutcome::Refused,
        Err(AttemptFailure::RateLimited) => PeerOutcome::RateLimited,
        Err(
            AttemptFailure::QueueFull
            | AttemptFailure::DeadlineTooNear
            | AttemptFailure::KeyUnproven
            | AttemptFailure::NoRetries
            | AttemptFailure::RequestRefused
            | AttemptFailure::SuspectElsewhere
            | AttemptFailure::SuspectBusy,
        ) => PeerOutcome::Inconclusive,
        Err(
            AttemptFailure::Shed
            | AttemptFailure::TargetConnectionBroken
            | AttemptFailure::DeadlinePassed
            | AttemptFailure::BadResponse,
        ) => PeerOutcome::Failed,
    }
}

/// Sends a call to a peer; one that may run an older build gets it once more in the format of that
/// build.
async fn send_to_peer<P: PlatformAdapter, F: Fn() -> bool>(
    state: &SidecarState<P>,
    call: &ForwardedCall,
    context: &HopContext,
    peer: SocketAddr,
    has_alternative: F,
) -> AttemptReport {
    let on_silence = || decide_on_silence(state, context, peer, &has_alternative);
    let formats = &state.peer_formats;
    let now = state.clock.now();
    let known = formats.format(now, peer);
    let format = if context.fits(known) {
        known
    } else {
        HopFormat::WithAccount
    };
    let report = send_in_format(state, call, context, peer, format, on_silence).await;
    let is_unread = matches!(report.result, Err(AttemptFailure::NoTarget));
    let may_try_older = format == HopFormat::WithAccount
        && context.fits(HopFormat::WithoutAccount)
        && formats.may_try_older(now, peer);
    if !is_unread || !may_try_older {
        return report;
    }
    let older = HopFormat::WithoutAccount;
    let report = send_in_format(state, call, context, peer, older, on_silence).await;
    let is_read = !matches!(report.result, Err(AttemptFailure::NoTarget));
    formats.record_older(state.clock.now(), peer, is_read);
    if is_read {
        slog::info!(state.log.logger, "peer of an older build"; "peer" => %peer);
    }
    report
}

async fn send_in_format<P: PlatformAdapter, S: Fn() -> ControlFlow<()>>(
    state: &SidecarState<P>,
    call: &ForwardedCall,
    context: &HopContext,
    peer: SocketAddr,
    format: HopFormat,
    on_silence: S,
) -> AttemptReport {
    let request = match call.to_peer_request(context, state.clock_reading(), format) {
        Ok(mut request) => {
            if let Some(incarnation) = state.leaving_peers.get(peer) {
                incarnation.set_leaving_header(request.headers_mut());
            }
            request
        }
        Err(error) => {
            slog::warn!(state.log.logger, "attempt failed: request to the peer can't be built";
                "request" => &call.id, "error" => %error);
            return AttemptReport::failed(AttemptFailure::NoTarget);
        }
    };
    let deadline = state.clock.instant_of(context.deadline) + POOL_TIMEOUT_MARGIN;
    let asked_at = state.clock.now();
    let sending = state
        .mesh_pool
        .send_watched(peer, request, deadline, &on_silence);
    match sending.await {
        Ok((mut response, watch)) => {
            if let Some(text) = take_header_text(response.headers_mut(), PROOF_HEADER) {
                let version = state.config().map_or(0, |config| config.version);
                state.accounts.merge_proof(version, asked_at, &text);
            }
            read_report(state, response, &watch, context, peer, on_silence).await
        }
        Err(failure) => {
            let kind = match failure {
                SendFailure::NotSent(_) => AttemptFailure::PeerUnreachable,
                SendFailure::Broken(_) | SendFailure::BadResponse(_) | SendFailure::TimedOut(_) => {
                    AttemptFailure::PeerConnectionBroken
                }
            };
            if state.log.try_acquire(LineCategory::Failure) {
                slog::info!(state.log.logger, "request to the peer failed";
                    "request" => &call.id, "peer" => %peer, "failure" => %kind,
                    "error" => %failure.into_error());
            }
            AttemptReport::failed(kind)
        }
    }
}

/// Whether a call goes on waiting for a peer that is silent. One that has an alternative does not;
/// any other would lose the response of a target that may be running it.
fn decide_on_silence<P: PlatformAdapter, F: Fn() -> bool>(
    state: &SidecarState<P>,
    context: &HopContext,
    peer: SocketAddr,
    has_alternative: F,
) -> ControlFlow<()> {
    if has_alternative() {
        return ControlFlow::Break(());
    }
    let now = state.clock.now();
    state.peers().record_silence(now, &context.service, peer);
    ControlFlow::Continue(())
}

async fn read_report<P: PlatformAdapter, S: Fn() -> ControlFlow<()>>(
    state: &SidecarState<P>,
    response: Response<Incoming>,
    watch: &SilenceWatch,
    context: &HopContext,
    peer: SocketAddr,
    on_silence: S,
) -> AttemptReport {
    let (mut head, body) = response.into_parts();
    if let Some(incarnation) = TargetIncarnation::take_leaving_header(&mut head.headers) {
        let now = state.clock.now();
        if state.leaving_peers.record(now, peer, &incarnation) {
            slog::info!(state.log.logger, "target of a peer leaving"; "peer" => %peer,
                "instance" => incarnation.instance);
        }
    }
    let tree_cost = take_header_text(&mut head.headers, TREE_COST_HEADER);
    let load = take_header_text(&mut head.headers, LOAD_HEADER);
    let failure = take_header_text(&mut head.headers, ATTEMPT_FAILURE_HEADER);
    let only_peer = take_header_text(&mut head.headers, ONLY_PEER_HEADER);
    let only_peer = only_peer.and_then(|text| text.parse().ok());
    let cause = take_header_text(&mut head.headers, CAUSE_HEADER);
    let cause = cause.and_then(|text| FailureCause::decode(&text));
    if let Some(text) = take_header_text(&mut head.headers, PRESSURE_HEADER) {
        let pressure_report = PressureReport::decode(&text);
        state
            .admission()
            .merge_report(state.clock.now(), &pressure_report);
    }
    let tree_cost = tree_cost.map_or_else(TreeCost::default, |text| TreeCost::decode(&text));
    let load = load.and_then(|text| TargetLoad::decode(&text));
    let result = if let Some(text) = failure {
        Err(text.parse().unwrap_or(AttemptFailure::PeerConnectionBroken))
    } else {
        let response = Response::from_parts(head, body);
        read_body(state, response, watch, context, on_silence).await
    };
    AttemptReport {
        result,
        tree_cost,
        load,
        cause,
        only_peer,
    }
}

/// Reads the response of a target that a peer relays.
async fn read_body<P: PlatformAdapter, S: Fn() -> ControlFlow<()>>(
    state: &SidecarState<P>,
    response: Response<Incoming>,
    watch: &SilenceWatch,
    context: &HopContext,
    on_silence: S,
) -> Result<Response<RelayBody>, AttemptFailure> {
    let (head, body) = response.into_parts();
    let limit = MAX_BUFFERED_RESPONSE_BYTES;
    let reading = read_reserved_response(body, limit, &state.body_budget);
    let failure = match watch.run(reading, on_silence).await {
        Some(Ok(ResponsePrefix::Complete { data, trailers })) => {
            let body = ResponseBody::buffered(data, trailers);
            return Ok(Response::from_parts(head, body));
        }
        Some(Ok(ResponsePrefix::Partial { prefix, rest })) => {
            let deadline = state.clock.instant_of(context.deadline);
            let body = ResponseBody::streamed(prefix, rest, deadline, None);
            return Ok(Response::from_parts(head, body));
        }
        Some(Err(error)) => error.to_string(),
        None => "nothing received".to_owned(),
    };
    if state.log.try_acquire(LineCategory::Failure) {
        slog::info!(state.log.logger, "response of the peer was cut off";
            "service" => %context.service, "error" => failure);
    }
    Err(AttemptFailure::PeerConnectionBroken)
}

fn take_header_text(headers: &mut HeaderMap, name: &'static str) -> Option<String> {
    let value = headers.remove(name)?;
    value.to_str().ok().map(str::to_owned)
}
