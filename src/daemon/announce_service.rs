use {
    super::{
        daemon_phase::DaemonPhase,
        daemon_state::DaemonState,
        ingress_service::{IngressResponse, serve_target_call},
        local_target::AnnounceChange,
    },
    crate::{
        events::EventKind,
        membership::TargetAnnouncement,
        net::{CallRefusal, RefusalKind, ResponseBody, read_request},
    },
    bytes::Bytes,
    http::{Method, Request, Response, StatusCode},
    hyper::body::Incoming,
    std::{sync::Arc, time::Duration},
};

/// Path on the local listener to which the target sends its announcements.
pub(crate) const ANNOUNCE_PATH: &str = "/announce";

const MAX_ANNOUNCEMENT_BYTES: usize = 4 * 1024;
const MAX_SLOTS: u32 = 65_536;
const MAX_CONNECTIONS: u32 = 65_536;
const MAX_PATH_BYTES: usize = 256;
/// Maximum time in which the body of an announcement must arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(2);

/// Serves the target beside the daemon: its announcements and its calls to other services.
pub(crate) async fn serve_local(
    state: Arc<DaemonState>,
    request: Request<Incoming>,
) -> IngressResponse {
    if request.uri().path() != ANNOUNCE_PATH {
        return serve_target_call(state, request).await;
    }
    let result = match *request.method() {
        Method::POST => announce_target(&state, request).await,
        Method::DELETE => {
            withdraw_target(&state, "withdrawn by the target").await;
            Ok(())
        }
        _ => Err(CallRefusal::not_run(
            RefusalKind::BadRequest,
            format!("{ANNOUNCE_PATH} accepts only POST and DELETE"),
        )),
    };
    match result {
        Ok(()) => no_content(),
        Err(refusal) => refusal
            .to_response()
            .map(|body| ResponseBody::buffered(body, None)),
    }
}

async fn announce_target(
    state: &DaemonState,
    request: Request<Incoming>,
) -> Result<(), CallRefusal> {
    let body = read_request(request.into_body(), MAX_ANNOUNCEMENT_BYTES, BODY_TIMEOUT)
        .await
        .map_err(|error| announcement_refusal(&error.to_string()))?;
    let announcement: TargetAnnouncement =
        serde_json::from_slice(&body).map_err(|error| announcement_refusal(&error.to_string()))?;
    check_announcement(&announcement)?;
    if state.phase() >= DaemonPhase::Draining {
        let detail = "this daemon is shutting down and accepts no announcements";
        return Err(CallRefusal::not_run(RefusalKind::Draining, detail));
    }
    let change = state
        .target
        .announce(&announcement, state.guard_settings(announcement.slots));
    match change {
        AnnounceChange::Renewed => return Ok(()),
        AnnounceChange::New => state.events.record(EventKind::TargetAnnounced {
            service: announcement.service.clone(),
            target: announcement.address,
            slots: announcement.slots,
        }),
        AnnounceChange::Draining => state.events.record(EventKind::TargetDraining {
            service: announcement.service.clone(),
            target: announcement.address,
        }),
    }
    slog::info!(state.log, "target announced";
        "service" => %announcement.service,
        "target" => %announcement.address,
        "state" => %announcement.state);
    state.membership.wait_until_target_published().await;
    state.refresh_batchers();
    Ok(())
}

/// Removes the target and publishes its withdrawal.
pub(crate) async fn withdraw_target(state: &DaemonState, reason: &'static str) {
    if let Some(target) = state.target.withdraw() {
        publish_withdrawal(state, &target.announcement, reason).await;
    }
}

/// Records that the target is withdrawn and publishes this to the other members.
pub(crate) async fn publish_withdrawal(
    state: &DaemonState,
    announcement: &TargetAnnouncement,
    reason: &'static str,
) {
    state.events.record(EventKind::TargetWithdrawn {
        service: announcement.service.clone(),
        target: announcement.address,
        reason: reason.into(),
    });
    slog::info!(state.log, "target withdrawn";
        "service" => %announcement.service,
        "target" => %announcement.address,
        "reason" => reason);
    state.membership.wait_until_target_published().await;
}

fn check_announcement(announcement: &TargetAnnouncement) -> Result<(), CallRefusal> {
    if !(1..=MAX_SLOTS).contains(&announcement.slots) {
        return Err(bounds_refusal("slots", MAX_SLOTS));
    }
    if !(1..=MAX_CONNECTIONS).contains(&announcement.connections) {
        return Err(bounds_refusal("connections", MAX_CONNECTIONS));
    }
    let paths = [&announcement.health_path, &announcement.load_path];
    for path in paths.into_iter().flatten() {
        if !path.starts_with('/') || path.len() > MAX_PATH_BYTES {
            let detail = format!("{path:?} is not a path of at most {MAX_PATH_BYTES} bytes");
            return Err(announcement_refusal(&detail));
        }
    }
    Ok(())
}

fn bounds_refusal(field: &str, max: u32) -> CallRefusal {
    announcement_refusal(&format!("{field} is not 1 to {max}"))
}

fn announcement_refusal(detail: &str) -> CallRefusal {
    CallRefusal::not_run(
        RefusalKind::BadRequest,
        format!("invalid announcement: {detail}"),
    )
}

fn no_content() -> IngressResponse {
    let mut response = Response::new(ResponseBody::buffered(Bytes::new(), None));
    *response.status_mut() = StatusCode::NO_CONTENT;
    response
}
