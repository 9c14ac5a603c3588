use {
    super::{
        PlatformAdapter, TargetChange, TargetPhase, TargetReport, TargetTracker,
        attempt_report::RelayBody,
        live_target::LiveTarget,
        report_refusal::ReportRefusal,
        report_source::ReportSource,
        sidecar_state::{SidecarPhase, SidecarState, TargetStatus},
        target_incarnation::TargetIncarnation,
        unread_fields::FieldSource,
    },
    crate::{
        membership::{TargetAnnouncement, TargetState},
        net::{ResponseBody, read_request},
        time::TimePoint,
    },
    bytes::Bytes,
    http::{HeaderValue, Method, Request, Response, StatusCode, header::CONTENT_TYPE},
    hyper::body::Incoming,
    std::{sync::Arc, time::Duration},
};

/// Maximum size of a target's report, in bytes.
const MAX_REPORT_BYTES: usize = 16 * 1024;
const REPORT_TIMEOUT: Duration = Duration::from_secs(2);
const METRICS_PATH: &str = "/metrics";
/// Path of the list of refused requests.
const REFUSALS_PATH: &str = "/refusals";
/// End of the path that ends a refusal.
const LIFT_SUFFIX: &str = "/lift";
/// Time in which the store has to hold a departure; targets wait a second for an acknowledgement.
const DEPARTURE_STORE_TIME: Duration = Duration::from_millis(800);
/// Time after which a heartbeat is no longer on its way to the sidecar.
const MAX_HEARTBEAT_DELAY: Duration = Duration::from_secs(8);
const JSON_TYPE: HeaderValue = HeaderValue::from_static("application/json");

/// Serves the reports of the local target and the metrics endpoint.
pub(crate) async fn serve_admin<P: PlatformAdapter>(
    state: Arc<SidecarState<P>>,
    request: Request<Incoming>,
) -> Response<RelayBody> {
    let (head, body) = request.into_parts();
    let path = head.uri.path();
    if path == METRICS_PATH {
        return text_response(StatusCode::OK, state.recorder.render());
    }
    let body = match read_request(body, MAX_REPORT_BYTES, REPORT_TIMEOUT).await {
        Ok(body) => body,
        Err(error) => return text_response(StatusCode::BAD_REQUEST, error.to_string()),
    };
    match state.platform.parse_report(&head.method, path, &body) {
        None => text_response(StatusCode::NOT_FOUND, String::new()),
        Some(Err(error)) => {
            slog::warn!(state.log.logger, "malformed target report rejected"; "error" => &error);
            text_response(StatusCode::BAD_REQUEST, error)
        }
        Some(Ok(report)) => {
            for name in state.platform.unread_report_fields(&body) {
                let source = FieldSource::TargetReport;
                state.unread_fields.record(source, &name, &state.log.logger);
            }
            match handle_report(&state, report).await {
                Ok(()) => {
                    let mut response = text_response(StatusCode::OK, "{}".into());
                    response.headers_mut().insert(CONTENT_TYPE, JSON_TYPE);
                    response
                }
                Err(refusal) => text_response(refusal.status(), refusal.to_string()),
            }
        }
    }
}

/// Serves the platform's readiness check, the metrics endpoint and the list of refused requests.
pub(crate) async fn serve_readiness<P: PlatformAdapter>(
    state: Arc<SidecarState<P>>,
    request: Request<Incoming>,
) -> Response<RelayBody> {
    let path = request.uri().path();
    if path == METRICS_PATH {
        return text_response(StatusCode::OK, state.recorder.render());
    }
    if let Some(rest) = path.strip_prefix(REFUSALS_PATH) {
        return serve_refusals(&state, request.method(), rest);
    }
    if !state.platform.is_readiness_check(request.method(), path) {
        return text_response(StatusCode::NOT_FOUND, String::new());
    }
    let status = if state.phase() == SidecarPhase::Serving {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    text_response(status, String::new())
}

/// Lists the refused requests, or ends the refusal of one: `rest` is `/HASH/lift` then.
fn serve_refusals<P: PlatformAdapter>(
    state: &SidecarState<P>,
    method: &Method,
    rest: &str,
) -> Response<RelayBody> {
    if *method == Method::GET && rest.is_empty() {
        return text_response(StatusCode::OK, state.crash_watch.refusals_text());
    }
    let digest = rest
        .strip_prefix('/')
        .and_then(|rest| rest.strip_suffix(LIFT_SUFFIX));
    let Some(digest) = digest.filter(|_| *method == Method::POST) else {
        return text_response(StatusCode::NOT_FOUND, String::new());
    };
    match digest.parse() {
        Ok(digest) if state.crash_watch.lift(digest) => {
            text_response(StatusCode::OK, "lifted\n".into())
        }
        Ok(_) => text_response(StatusCode::NOT_FOUND, "no such refusal\n".into()),
        Err(error) => text_response(StatusCode::BAD_REQUEST, format!("{error}\n")),
    }
}

/// Applies a report; an error means that its sender has no acknowledgement.
async fn handle_report<P: PlatformAdapter>(
    state: &Arc<SidecarState<P>>,
    report: TargetReport,
) -> Result<(), ReportRefusal> {
    let now = state.clock.now();
    let source = ReportSource::from(&report);
    let is_leaving = report.is_leaving();
    let change = update_target(state, &source, |tracker| match report {
        TargetReport::Heartbeat(heartbeat) => tracker.record_heartbeat(now, heartbeat),
        TargetReport::Leave { instance } => {
            tracker.record_leave(&instance, state.crash_watch.now_ms())
        }
    })
    .await;
    if change == TargetChange::Ambiguous {
        return Err(ReportRefusal::Ambiguous);
    }
    if !is_leaving {
        return Ok(());
    }
    let revision = state.target().tracker.departed().revision();
    let storing = state
        .departures
        .wait_until_stored(revision, DEPARTURE_STORE_TIME);
    if storing.await {
        return Ok(());
    }
    slog::warn!(state.log.logger, "departure not acknowledged"; "cause" => "not stored",
        "instance" => source.instance);
    Err(ReportRefusal::NotStored)
}

/// Records that `incarnation`, a process of the local target, says that it is leaving; `origin`
/// names who has told so in the log.
pub(crate) fn record_leaving<P: PlatformAdapter>(
    state: &Arc<SidecarState<P>>,
    incarnation: &TargetIncarnation,
    origin: &'static str,
) {
    let is_known = state.target().tracker.departed().contains(incarnation);
    if is_known {
        return;
    }
    let source = ReportSource {
        origin,
        instance: incarnation.instance.clone(),
        started_ms: Some(incarnation.started_ms),
        sequence: None,
    };
    let change = change_target(state, &source, |tracker| {
        tracker.record_leaving(incarnation)
    });
    if change == TargetChange::Draining {
        slog::info!(state.log.logger, "target leaving"; "instance" => &incarnation.instance,
            "source" => origin);
    }
}

/// Adds targets that have left while an earlier process of this sidecar ran.
pub(crate) async fn merge_departed<P: PlatformAdapter>(
    state: &Arc<SidecarState<P>>,
    departed: &[TargetIncarnation],
) {
    let source = ReportSource::of_sidecar("store");
    update_target(state, &source, |tracker| tracker.merge_departed(departed)).await;
}

/// Lets the local target serve if it has waited until the departures were known; `origin` names in
/// the log how they are.
pub(crate) async fn confirm_target<P: PlatformAdapter>(
    state: &Arc<SidecarState<P>>,
    origin: &'static str,
) {
    if state.target().tracker.is_confirmed() {
        return;
    }
    let source = ReportSource::of_sidecar(origin);
    update_target(state, &source, TargetTracker::confirm).await;
    let departed: Vec<_> = {
        let target_status = state.target();
        let entries = target_status.tracker.departed().entries().iter();
        entries.map(|entry| entry.instance.clone()).collect()
    };
    slog::info!(state.log.logger, "departures known"; "origin" => origin,
        "since_start_ms" => state.clock.now().as_millis(), "instances" => departed.join(","));
}

/// Lets the local target serve without the store once no heartbeat can arrive that was sent before
/// this process started.
pub(crate) async fn confirm_overdue<P: PlatformAdapter>(state: &Arc<SidecarState<P>>) {
    if state.clock.now().since(TimePoint::ORIGIN) > MAX_HEARTBEAT_DELAY {
        confirm_target(state, "age").await;
    }
}

/// Applies `update` to the local target; returns once the membership protocol has what it changes.
async fn update_target<P: PlatformAdapter>(
    state: &SidecarState<P>,
    source: &ReportSource,
    update: impl FnOnce(&mut TargetTracker) -> TargetChange,
) -> TargetChange {
    let change = change_target(state, source, update);
    if change.affects_tracked() {
        state.membership.wait_until_target_published().await;
    }
    change
}

/// Applies `update` to the local target and its calls, and logs and announces what it changes.
fn change_target<P: PlatformAdapter>(
    state: &SidecarState<P>,
    source: &ReportSource,
    update: impl FnOnce(&mut TargetTracker) -> TargetChange,
) -> TargetChange {
    let (change, announced_state) = {
        let mut target_status = state.target();
        let change = update(&mut target_status.tracker);
        apply_change(state, &mut target_status, change);
        state
            .departures
            .set_recorded(target_status.tracker.departed().revision());
        let announcement = build_announcement(&target_status);
        let announced_state = announcement.as_ref().map(|target| target.state);
        if change.affects_tracked() {
            state.membership.set_target(announcement);
        }
        (change, announced_state)
    };
    if change != TargetChange::Unchanged {
        let state_text = announced_state.map_or_else(|| "none".into(), |state| state.to_string());
        slog::info!(state.log.logger, "target reported";
            "change" => %change, "state" => state_text,
            "origin" => source.origin, "instance" => &source.instance,
            "started_ms" => source.started_ms, "sequence" => source.sequence);
    }
    change
}

fn apply_change<P: PlatformAdapter>(
    state: &SidecarState<P>,
    target_status: &mut TargetStatus,
    change: TargetChange,
) {
    let closes_current = matches!(
        change,
        TargetChange::Started | TargetChange::Draining | TargetChange::Gone
    );
    if closes_current && let Some(live) = target_status.live.take() {
        live.semaphore.close();
        if change == TargetChange::Started {
            state
                .crash_watch
                .record_end(&live, "replaced by another process");
        } else {
            live.runs().record_leaving();
        }
    }
    if change == TargetChange::Started
        && let Some(silent) = target_status.silent.take()
        && let Some((heartbeat, _)) = target_status.tracker.current()
        && heartbeat.incarnation() != silent.incarnation
    {
        state
            .crash_watch
            .record_end(&silent, "silent, then replaced by another process");
    }
    match (change, target_status.tracker.current()) {
        (TargetChange::Started, Some((heartbeat, TargetPhase::Serving))) => {
            let live = LiveTarget::new(heartbeat, state.settings.target, state.clock);
            target_status.live = Some(Arc::new(live));
        }
        (TargetChange::Updated, Some((heartbeat, TargetPhase::Serving))) => {
            if let Some(live) = &target_status.live {
                live.semaphore.set_slots(heartbeat.slots);
            }
        }
        _ => {}
    }
}

/// Builds the announcement of the local target for the other sidecars; `None` once it is gone.
fn build_announcement(target_status: &TargetStatus) -> Option<TargetAnnouncement> {
    let (heartbeat, phase) = target_status.tracker.current()?;
    let state = match phase {
        TargetPhase::Serving => TargetState::Serving,
        TargetPhase::Draining => TargetState::Draining,
        TargetPhase::Unconfirmed | TargetPhase::Gone => return None,
    };
    Some(TargetAnnouncement {
        service: heartbeat.service.clone(),
        address: heartbeat.address,
        slots: heartbeat.slots,
        connections: heartbeat.slots,
        state,
        health_path: None,
        load_path: None,
    })
}

/// Withdraws the local target when its heartbeats are overdue and it is idle or stalled.
pub(crate) fn expire_target<P: PlatformAdapter>(state: &SidecarState<P>) {
    let now = state.clock.now();
    let is_lost = {
        let mut target_status = state.target();
        let is_overdue = target_status.tracker.is_overdue(now);
        let is_idle_or_stalled = |live: &Arc<LiveTarget>| {
            let load = live.semaphore.load();
            load.is_stalled || load.running == 0
        };
        let is_lost = is_overdue && target_status.live.as_ref().is_some_and(is_idle_or_stalled);
        if is_lost && let Some(live) = target_status.live.take() {
            live.semaphore.close();
            target_status.silent = Some(live);
            target_status.tracker.remove();
            state.membership.set_target(None);
        }
        is_lost
    };
    if is_lost {
        slog::warn!(state.log.logger, "target lost"; "cause" => "no heartbeat");
    }
}

fn text_response(status: StatusCode, text: String) -> Response<RelayBody> {
    let mut response = Response::new(ResponseBody::buffered(Bytes::from(text), None));
    *response.status_mut() = status;
    response
}
