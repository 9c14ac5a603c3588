use {
    super::{daemon_options::DaemonFeature, daemon_state::DaemonState, mesh_client::post_message},
    crate::{
        context::{CallContext, RequestId, ServiceName},
        error::StepError,
        events::EventKind,
        net::PERMIT_PATH,
        retry::PermitDecision,
    },
    serde::{Deserialize, Serialize},
    std::{sync::Arc, time::Duration},
};

/// Maximum wait for the root daemon. Without a response the retry is denied.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(500);

/// Request to the root daemon for one retry from the budget of a user request.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct PermitRequest {
    pub(crate) request: RequestId,
}

/// Requests a permit for one retry of a call. Returns whether the call may be retried.
pub(crate) async fn request_permit(
    state: &Arc<DaemonState>,
    context: &CallContext,
    service: &ServiceName,
) -> bool {
    if !state.options.is_enabled(DaemonFeature::RetryBudget) {
        return true;
    }
    if !state.acquire_retry(service) {
        record_denial(state, context, "retry-ratio");
        return false;
    }
    match request_root_permit(state, context).await {
        Ok(PermitDecision::Granted) => true,
        Ok(decision) => {
            record_denial(state, context, decision.into());
            false
        }
        Err(error) => {
            slog::warn!(state.log, "no retry permit from the root daemon; the call is not retried"; "step" => %error.step, "peer" => &error.peer, "error" => %error);
            record_denial(state, context, "root-unreachable");
            false
        }
    }
}

async fn request_root_permit(
    state: &Arc<DaemonState>,
    context: &CallContext,
) -> Result<PermitDecision, StepError> {
    if context.root == state.mesh_address {
        return Ok(state.acquire_permit(context.request));
    }
    let message = PermitRequest {
        request: context.request,
    };
    let remaining = state.clock.now().until(context.deadline);
    let timeout = remaining.min(PERMIT_TIMEOUT);
    post_message(
        &state.mesh,
        &state.key,
        context.root,
        PERMIT_PATH,
        &message,
        timeout,
    )
    .await
}

fn record_denial(state: &Arc<DaemonState>, context: &CallContext, reason: &'static str) {
    state.events.record(EventKind::PermitDenied {
        request: context.request,
        call: context.call,
        reason: reason.into(),
    });
}
