use {
    super::{
        FailureCause, HopContext, PeerOutcome, PlatformAdapter, PressureReport, TargetLoad,
        TreeCost,
        failure_cause::TROUBLE_HEADER,
        forwarded_call::ForwardedCall,
        hop_outcome::{HopFailure, HopOutcome, OUTCOME_HEADER},
        inbound_service::run_here,
        load_header::LOAD_HEADER,
        pressure_report::RUMOUR_HEADER,
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

/// Bytes of an answer that are read before the first of them goes on.
pub(crate) const WHOLE_ANSWER_BYTES: usize = 256 * 1024;
/// Time beyond the deadline after which the pool gives a call up by itself; its caller has ended
/// it by then.
const POOL_SLACK: Duration = Duration::from_secs(1);

/// A call that counts as out at a peer; ends as abandoned on drop.
struct InFlightGuard<'a, D: PlatformAdapter> {
    state: &'a SidecarState<D>,
    service: &'a ServiceName,
    mesh: SocketAddr,
    is_ended: bool,
}

impl<D: PlatformAdapter> InFlightGuard<'_, D> {
    fn end(&mut self, end: PeerOutcome, load: Option<TargetLoad>) {
        self.is_ended = true;
        let now = self.state.clock.now();
        let mut peers = self.state.peers();
        peers.finish(now, self.service, self.mesh, end, load);
    }
}

impl<D: PlatformAdapter> Drop for InFlightGuard<'_, D> {
    fn drop(&mut self) {
        if !self.is_ended {
            self.end(PeerOutcome::Abandoned, None);
        }
    }
}

/// Offers a call to the target beside the sidecar at `mesh`, which was chosen for it.
pub(crate) async fn offer<D: PlatformAdapter>(
    state: &Arc<SidecarState<D>>,
    call: &ForwardedCall,
    context: &HopContext,
    mesh: SocketAddr,
) -> HopOutcome {
    let mut place = InFlightGuard {
        state,
        service: &context.service,
        mesh,
        is_ended: false,
    };
    let outcome = if mesh == state.settings.listen.mesh {
        run_here(state, call, context).await
    } else {
        send(state, call, context, mesh).await
    };
    place.end(peer_end(&outcome), outcome.load);
    outcome
}

fn peer_end(outcome: &HopOutcome) -> PeerOutcome {
    match &outcome.result {
        // A failure below the target says nothing of the target.
        Ok(response) if response.status().is_server_error() && !outcome.has_calls_below() => {
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
        Err(HopFailure::QueueFull | HopFailure::DeadlineTooNear | HopFailure::NoRepeats) => {
            PeerOutcome::Abandoned
        }
        Err(HopFailure::Shed | HopFailure::TargetBroken | HopFailure::BadAnswer) => {
            PeerOutcome::Failed
        }
    }
}

async fn send<D: PlatformAdapter>(
    state: &SidecarState<D>,
    call: &ForwardedCall,
    context: &HopContext,
    mesh: SocketAddr,
) -> HopOutcome {
    let request = match call.to_hop(context, state.clock.now()) {
        Ok(request) => request,
        Err(error) => {
            slog::warn!(state.log.logger, "request can't be passed on";
                "request" => &call.id, "error" => %error);
            return HopOutcome::failed(HopFailure::NoTarget);
        }
    };
    let deadline = state.clock.instant_of(context.deadline) + POOL_SLACK;
    match state.mesh.send(mesh, request, deadline).await {
        Ok(response) => read_outcome(state, response, context).await,
        Err(failure) => {
            let kind = match failure {
                SendFailure::NotSent(_) => HopFailure::Unreachable,
                SendFailure::Broken(_) | SendFailure::TimedOut(_) => HopFailure::HopBroken,
            };
            if state.log.has_room(LineCategory::Trouble) {
                slog::info!(state.log.logger, "hop failed";
                    "request" => &call.id, "peer" => %mesh, "failure" => %kind,
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
    let tree = take_text(&mut head.headers, TREE_HEADER);
    let load = take_text(&mut head.headers, LOAD_HEADER);
    let failure = take_text(&mut head.headers, OUTCOME_HEADER);
    let trouble = take_text(&mut head.headers, TROUBLE_HEADER);
    let trouble = trouble.and_then(|text| FailureCause::decode(&text));
    if let Some(text) = take_text(&mut head.headers, RUMOUR_HEADER) {
        let rumour = PressureReport::decode(&text);
        state.admission().hear(state.clock.now(), &rumour);
    }
    let tree = tree.map_or_else(TreeCost::default, |text| TreeCost::decode(&text));
    let load = load.and_then(|text| TargetLoad::decode(&text));
    let result = match failure {
        Some(text) => Err(text.parse().unwrap_or(HopFailure::HopBroken)),
        None => match read_response(body, WHOLE_ANSWER_BYTES).await {
            Ok(ResponsePrefix::Whole { data, trailers }) => Ok(Response::from_parts(
                head,
                ResponseBody::whole(data, trailers),
            )),
            Ok(ResponsePrefix::Longer { prefix, rest }) => {
                let deadline = state.clock.instant_of(context.deadline);
                let body = ResponseBody::stream(prefix, rest, deadline, None);
                Ok(Response::from_parts(head, body))
            }
            Err(error) => {
                if state.log.has_room(LineCategory::Trouble) {
                    slog::info!(state.log.logger, "answer broke off between sidecars";
                        "service" => %context.service, "error" => %error);
                }
                Err(HopFailure::HopBroken)
            }
        },
    };
    HopOutcome {
        result,
        tree,
        load,
        trouble,
    }
}

fn take_text(headers: &mut HeaderMap, name: &'static str) -> Option<String> {
    let value = headers.remove(name)?;
    value.to_str().ok().map(str::to_owned)
}
