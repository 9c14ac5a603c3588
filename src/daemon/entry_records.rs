use {
    super::{
        call_router::{RoutedAnswer, RoutedRefusal},
        daemon_state::DaemonState,
        metrics_recorder::count_answer,
    },
    crate::{
        context::{CallContext, RunOutcome},
        events::EventKind,
        net::CallRequest,
        time::TimePoint,
    },
};

/// Records that a caller has entered.
pub(super) fn record_minted(state: &DaemonState, context: &CallContext, request: &CallRequest) {
    state.events.record(EventKind::RequestMinted {
        request: context.request,
        call: context.call,
        class: context.class.clone(),
        priority: context.priority,
        service: request.service.clone(),
    });
}

/// Records the final answer of a caller.
pub(super) fn record_answered(
    state: &DaemonState,
    context: &CallContext,
    result: &Result<RoutedAnswer, RoutedRefusal>,
    started: TimePoint,
) {
    let (status, outcome) = match result {
        Ok(answer) => (answer.response.status(), RunOutcome::Run),
        Err(refused) => (refused.refusal.status(), refused.refusal.outcome),
    };
    let elapsed = state.clock.now().since(started);
    count_answer(
        context.class.as_str(),
        status.as_u16(),
        outcome.into(),
        elapsed,
    );
    state.events.record(EventKind::RequestAnswered {
        request: context.request,
        call: context.call,
        status: status.as_u16(),
        outcome,
        elapsed_us: u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX),
    });
}

/// Records that nobody waits any more for what a call has called.
pub(super) fn record_cancelled(state: &DaemonState, context: &CallContext, reason: &'static str) {
    state.events.record(EventKind::CallCancelled {
        request: context.request,
        call: context.call,
        reason: reason.into(),
    });
}
