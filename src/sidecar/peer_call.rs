use {
    super::{
        FailureCause, HopContext, PeerOutcome, PlatformAdapter, PressureReport, TargetLoad,
        TreeCost,
        failure_cause::CAUSE_HEADER,
        forwarded_call::ForwardedCall,
        hop_outcome::{HopFailure, HopOutcome, OUTCOME_HEADER},
        inbound_service::run_on_local_target,
        load_header::LOAD_HEADER,
        pressure_report::PRESSURE_HEADER,
        request_log::LineCategory,
        sidecar_state::SidecarState,
        tree_cost::TREE_HEADER,
    },
    crate::{
        context::ServiceName,
        net::{ResponseBody, ResponsePrefix, SendFailure, read_response},
    },
    http::{HeaderMap, Response},
    hyper::body::Incoming,
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// Bytes of a response that are buffered before relaying starts.
pub(crate) const MAX_BUFFERED_RESPONSE_BYTES: usize = 256 * 1024;
/// Time beyond the deadline after which the pool times out a call; its caller has cancelled it by
/// then.
const POOL_TIMEOUT_MARGIN: Duration = Duration::from_secs(1);

/// Counts a call as in flight at a peer; recorded as abandoned on drop.
struct InFlightGuard<'a, D: PlatformAdapter> {
    state: &'a SidecarState<D>,
    service: &'a ServiceName,
    peer: SocketAddr,
    is_finished: bool,
}

impl<D: PlatformAdapter> InFlightGuard<'_, D> {
    fn finish(&mut self, outcome: PeerOutcome, load: Option<TargetLoad>) {
        self.is_finished = true;
        let now = self.state.clock.now();
        let mut peers = self.state.peers();
        peers.record_outcome(now, self.service, self.peer, outcome, load);
    }
}

impl<D: PlatformAdapter> Drop for InFlightGuard<'_, D> {
    fn drop(&mut self) {
        if !self.is_finished {
            self.finish(PeerOutcome::Abandoned, None);
        }
    }
}

/// Sends a call to the target of `peer`, the sidecar that was chosen for it.
pub(crate) async fn send_attempt<D: PlatformAdapter>(
    state: &Arc<SidecarState<D>>,
    call: &ForwardedCall,
    context: &HopContext,
    peer: SocketAddr,
) -> HopOutcome {
    let mut guard = InFlightGuard {
        state,
        service: &context.service,
        peer,
        is_finished: false,
    };
    let outcome = if peer == state.settings.listen.mesh {
        run_on_local_target(state, call, context).await
    } else {
        send_to_peer(state, call, context, peer).await
    };
    guard.finish(peer_outcome(&outcome), outcome.load);
    outcome
}

fn peer_outcome(outcome: &HopOutcome) -> PeerOutcome {
    match &outcome.result {
        // A failed child call says nothing about the target itself.
        Ok(response) if response.status().is_server_error() && !outcome.has_child_calls() => {
            PeerOutcome::Failed
        }
        Ok(_) => PeerOutcome::Answered,
        Err(HopFailure::Unreachable | HopFailure::HopBroken) => PeerOutcome::Unreachable,
        Err(
            HopFailure::NoTarget
            | HopFailure::TargetClosed
            | HopFailure::TargetStalled
            | HopFailure::ConnectFailed,
        ) => PeerOutcome::Refused,
        Err(HopFailure::QueueFull | HopFailure::DeadlineTooNear | HopFailure::NoRetries) => {
            PeerOutcome::Abandoned
        }
        Err(HopFailure::Shed | HopFailure::TargetBroken | HopFailure::BadAnswer) => {
            PeerOutcome::Failed
        }
    }
}

async fn send_to_peer<D: PlatformAdapter>(
    state: &SidecarState<D>,
    call: &ForwardedCall,
    context: &HopContext,
    peer: SocketAddr,
) -> HopOutcome {
    let request = match call.to_peer_request(context, state.clock.now()) {
        Ok(request) => request,
        Err(error) => {
            slog::warn!(state.log.logger, "attempt failed: request to the peer can't be built";
                "request" => &call.id, "error" => %error);
            return HopOutcome::failed(HopFailure::NoTarget);
        }
    };
    let deadline = state.clock.instant_of(context.deadline) + POOL_TIMEOUT_MARGIN;
    match state.mesh_pool.send(peer, request, deadline).await {
        Ok(response) => read_outcome(state, response, context).await,
        Err(failure) => {
            let kind = match failure {
                SendFailure::NotSent(_) => HopFailure::Unreachable,
                SendFailure::Broken(_) | SendFailure::TimedOut(_) => HopFailure::HopBroken,
            };
            if state.log.try_acquire(LineCategory::Failure) {
                slog::info!(state.log.logger, "request to the peer failed";
                    "request" => &call.id, "peer" => %peer, "failure" => %kind,
                    "error" => %failure.into_error());
            }
            HopOutcome::failed(kind)
        }
    }
}

async fn read_outcome<D: PlatformAdapter>(
    state: &SidecarState<D>,
    response: Response<Incoming>,
    context: &HopContext,
) -> HopOutcome {
    let (mut head, body) = response.into_parts();
    let tree_cost = take_header_text(&mut head.headers, TREE_HEADER);
    let load = take_header_text(&mut head.headers, LOAD_HEADER);
    let failure = take_header_text(&mut head.headers, OUTCOME_HEADER);
    let cause = take_header_text(&mut head.headers, CAUSE_HEADER);
    let cause = cause.and_then(|text| FailureCause::decode(&text));
    if let Some(text) = take_header_text(&mut head.headers, PRESSURE_HEADER) {
        let report = PressureReport::decode(&text);
        state.admission().merge_report(state.clock.now(), &report);
    }
    let tree_cost = tree_cost.map_or_else(TreeCost::default, |text| TreeCost::decode(&text));
    let load = load.and_then(|text| TargetLoad::decode(&text));
    let result = match failure {
        Some(text) => Err(text.parse().unwrap_or(HopFailure::HopBroken)),
        None => match read_response(body, MAX_BUFFERED_RESPONSE_BYTES).await {
            Ok(ResponsePrefix::Complete { data, trailers }) => Ok(Response::from_parts(
                head,
                ResponseBody::buffered(data, trailers),
            )),
            Ok(ResponsePrefix::Partial { prefix, rest }) => {
                let deadline = state.clock.instant_of(context.deadline);
                let body = ResponseBody::streamed(prefix, rest, deadline, None);
                Ok(Response::from_parts(head, body))
            }
            Err(error) => {
                if state.log.try_acquire(LineCategory::Failure) {
                    slog::info!(state.log.logger, "response of the peer was cut off";
                        "service" => %context.service, "error" => %error);
                }
                Err(HopFailure::HopBroken)
            }
        },
    };
    HopOutcome {
        result,
        tree_cost,
        load,
        cause,
    }
}

fn take_header_text(headers: &mut HeaderMap, name: &'static str) -> Option<String> {
    let value = headers.remove(name)?;
    value.to_str().ok().map(str::to_owned)
}
