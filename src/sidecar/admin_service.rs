use {
    super::{
        PlatformAdapter, TargetChange, TargetPhase, TargetReport,
        hop_outcome::RelayBody,
        live_target::LiveTarget,
        sidecar_state::{SidecarPhase, SidecarState, TargetStatus},
    },
    crate::{
        membership::{TargetAnnouncement, TargetState},
        net::{ResponseBody, read_request},
    },
    bytes::Bytes,
    http::{HeaderValue, Request, Response, StatusCode, header::CONTENT_TYPE},
    hyper::body::Incoming,
    std::{sync::Arc, time::Duration},
};

/// Bytes of the longest report of a target.
const MAX_REPORT_BYTES: usize = 16 * 1024;
const REPORT_PATIENCE: Duration = Duration::from_secs(2);
const METRICS_PATH: &str = "/metrics";
const JSON_TYPE: HeaderValue = HeaderValue::from_static("application/json");

/// Answers the target and whoever collects metrics.
pub(crate) async fn serve_admin<D: PlatformAdapter>(
    state: Arc<SidecarState<D>>,
    request: Request<Incoming>,
) -> Response<RelayBody> {
    let (head, body) = request.into_parts();
    let path = head.uri.path();
    if path == METRICS_PATH {
        return text_answer(StatusCode::OK, state.recorder.render());
    }
    let body = match read_request(body, MAX_REPORT_BYTES, REPORT_PATIENCE).await {
        Ok(body) => body,
        Err(error) => return text_answer(StatusCode::BAD_REQUEST, error.to_string()),
    };
    match state.dialect.read_report(&head.method, path, &body) {
        None => text_answer(StatusCode::NOT_FOUND, String::new()),
        Some(Err(error)) => {
            slog::warn!(state.log.logger, "report of a target passed over"; "error" => &error);
            text_answer(StatusCode::BAD_REQUEST, error)
        }
        Some(Ok(report)) => {
            take_report(&state, report).await;
            let mut response = text_answer(StatusCode::OK, "{}".into());
            response.headers_mut().insert(CONTENT_TYPE, JSON_TYPE);
            response
        }
    }
}

/// Answers the platform that asks whether callers may come.
pub(crate) async fn serve_readiness<D: PlatformAdapter>(
    state: Arc<SidecarState<D>>,
    request: Request<Incoming>,
) -> Response<RelayBody> {
    let path = request.uri().path();
    if path == METRICS_PATH {
        return text_answer(StatusCode::OK, state.recorder.render());
    }
    if !state.dialect.is_readiness(request.method(), path) {
        return text_answer(StatusCode::NOT_FOUND, String::new());
    }
    let status = if state.phase() == SidecarPhase::Serving {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    text_answer(status, String::new())
}

async fn take_report<D: PlatformAdapter>(state: &SidecarState<D>, report: TargetReport) {
    let now = state.clock.now();
    let (change, announcement) = {
        let mut slot = state.target();
        let change = match report {
            TargetReport::Beat(beat) => slot.register.note_beat(now, beat),
            TargetReport::Leave { instance } => slot.register.note_leave(&instance),
        };
        apply(state, &mut slot, change);
        (change, announcement_of(&slot))
    };
    if change == TargetChange::Unchanged {
        return;
    }
    let described = announcement.as_ref().map(|target| target.state.to_string());
    slog::info!(state.log.logger, "target reported";
        "change" => %change, "state" => described.unwrap_or_else(|| "none".into()));
    match announcement {
        _ if change == TargetChange::PassedOver => {}
        Some(target) => state.membership.announce_target(target).await,
        None => state.membership.withdraw_target().await,
    }
}

fn apply<D: PlatformAdapter>(
    state: &SidecarState<D>,
    slot: &mut TargetStatus,
    change: TargetChange,
) {
    let is_closing = matches!(
        change,
        TargetChange::Started | TargetChange::Draining | TargetChange::Gone
    );
    if is_closing && let Some(live) = slot.live.take() {
        live.desk.close();
    }
    match (change, slot.register.current()) {
        (TargetChange::Started, Some((beat, TargetPhase::Serving))) => {
            let live = LiveTarget::new(beat, state.settings.target, state.clock);
            slot.live = Some(Arc::new(live));
        }
        (TargetChange::Updated, Some((beat, TargetPhase::Serving))) => {
            if let Some(live) = &slot.live {
                live.desk.set_slots(beat.slots);
            }
        }
        _ => {}
    }
}

/// What the other sidecars are to know of the target.
fn announcement_of(slot: &TargetStatus) -> Option<TargetAnnouncement> {
    let (beat, phase) = slot.register.current()?;
    let state = match phase {
        TargetPhase::Serving => TargetState::Serving,
        TargetPhase::Draining => TargetState::Draining,
        TargetPhase::Gone => return None,
    };
    Some(TargetAnnouncement {
        service: beat.service.clone(),
        address: beat.address,
        slots: beat.slots,
        connections: beat.slots,
        state,
        health_path: None,
        load_path: None,
    })
}

/// Withdraws a target that has sent no heartbeat for too long and answers no call.
pub(crate) async fn expire_target<D: PlatformAdapter>(state: &SidecarState<D>) {
    let now = state.clock.now();
    let is_lost = {
        let mut slot = state.target();
        let is_overdue = slot.register.is_overdue(now);
        let is_idle = |live: &Arc<LiveTarget>| {
            let load = live.desk.load();
            load.is_stalled || load.running == 0
        };
        let is_lost = is_overdue && slot.live.as_ref().is_some_and(is_idle);
        if is_lost && let Some(live) = slot.live.take() {
            live.desk.close();
            slot.register.forget();
        }
        is_lost
    };
    if is_lost {
        slog::warn!(state.log.logger, "target lost"; "cause" => "no heartbeat");
        state.membership.withdraw_target().await;
    }
}

fn text_answer(status: StatusCode, text: String) -> Response<RelayBody> {
    let mut response = Response::new(ResponseBody::whole(Bytes::from(text), None));
    *response.status_mut() = status;
    response
}
