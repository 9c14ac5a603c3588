use {
    super::{
        call_router::{RoutedRefusal, RoutedResponse},
        daemon_state::DaemonState,
        metrics_recorder::count_response,
    },
    crate::{
        context::{CallContext, RunOutcome},
        events::EventKind,
        net::CallRequest,
        time::TimePoint,
    },
};

/// Records that a new request of a caller has entered.
pub(super) fn record_request_started(
    state: &DaemonState,
    context: &CallContext,
    request: &CallRequest,
) {
    state.events.record(EventKind::RequestStarted {
        request: context.request,
        call: context.call,
        class: context.class.clone(),
        priority: context.priority,
        service: request.service.clone(),
    });
}

/// Records the final response to a caller.
pub(super) fn record_request_completed(
    state: &DaemonState,
    context: &CallContext,
    result: &Result<RoutedResponse, RoutedRefusal>,
    started_at: TimePoint,
) {
    let (status, outcome) = match result {
        Ok(routed) => (routed.response.status(), RunOutcome::Run),
        Err(refused) => (refused.refusal.status(), refused.refusal.outcome),
    };
    let elapsed = state.clock.now().since(started_at);
    count_response(
        context.class.as_str(),
        status.as_u16(),
        outcome.into(),
        elapsed,
    );
    state.events.record(EventKind::RequestCompleted {
        request: context.request,
        call: context.call,
        status: status.as_u16(),
        outcome,
        elapsed_us: u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX),
    });
}

/// Records that a child call was cancelled because its parent call has ended.
pub(super) fn record_call_cancelled(
    state: &DaemonState,
    context: &CallContext,
    reason: &'static str,
) {
    state.events.record(EventKind::CallCancelled {
        request: context.request,
        call: context.call,
        reason: reason.into(),
    });
}
