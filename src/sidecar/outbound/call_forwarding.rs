use {
    super::{
        super::{
            AttemptHistory, AttemptOutcome, FailureCause, HopContext, NextStep, PlatformAdapter,
            RouteRule, TreeCost, TriedTargets,
            account_gate::RequestAccount,
            attempt_report::{AttemptFailure, RelayBody},
            forwarded_call::ForwardedCall,
            local_response::{RequestFailure, TARGET_ERROR},
            peer_call::send_attempt,
            running_calls::RunningCall,
            sidecar_state::SidecarState,
        },
        outbound_log::{log_failed_attempt, log_response},
        owed_answer::OwedAnswer,
    },
    crate::{context::ServiceName, time::TimePoint},
    http::Response,
    std::{net::SocketAddr, ops::Range, sync::Arc, time::Duration},
    tokio::time::sleep,
};

/// Time after which a child call is sent again that the rate limits of all targets have refused.
const RATE_LIMIT_DELAY: Duration = Duration::from_millis(50);
/// Time after which a call is sent again that another suspect has kept from running.
const SUSPECT_DELAY: Duration = Duration::from_millis(50);
/// Random factor of these times.
const RETRY_JITTER: Range<f64> = 0.5..1.5;

/// What the cost of a call is recorded for.
#[derive(Clone, Copy)]
pub(super) struct CallOrigin<'a> {
    pub(super) rule: &'a RouteRule,
    /// Rank of a call that starts a chain, by its account and route.
    pub(super) rank: u8,
    /// Call that the local target is running and makes this call for; `None` if the call starts a
    /// chain.
    pub(super) parent: Option<&'a RunningCall>,
}

/// A call that entered at this sidecar and has been admitted.
pub(super) struct OutboundCall<'a, P: PlatformAdapter> {
    pub(super) call: &'a ForwardedCall,
    pub(super) owed: &'a OwedAnswer<P>,
    pub(super) origin: CallOrigin<'a>,
    /// Account of a call that starts a chain and carries a key.
    pub(super) account: Option<RequestAccount>,
    pub(super) context: HopContext,
}

/// Sends a request to one target after another until one responds or the limits are reached;
/// `cause` is set to the cause of the last failure and cleared by a success.
pub(super) async fn forward_with_retries<P: PlatformAdapter>(
    state: &Arc<SidecarState<P>>,
    outbound: OutboundCall<'_, P>,
    cause: &mut Option<FailureCause>,
) -> Result<Response<RelayBody>, RequestFailure> {
    let OutboundCall {
        call,
        owed,
        origin,
        mut account,
        mut context,
    } = outbound;
    let CallOrigin { rule, parent, .. } = origin;
    let mut history = AttemptHistory::default();
    let mut tried = TriedTargets::default();
    let mut failed_response = None;
    // Sidecar beside the only target that may run the call.
    let mut only_peer: Option<SocketAddr> = None;
    loop {
        // A call below one that the target is running ends with that one.
        if parent.is_none() && !state.has_time_for(&rule.name, context.deadline) {
            let failure = failure_after(&history, RequestFailure::ShuttingDown);
            return failed_response.ok_or(failure);
        }
        context.earlier_attempts = history.delivered();
        if let Some(account) = &mut account {
            context.key_valid_until = Some(recheck_account(state, account, &history)?);
        }
        let chosen = choose_peer(
            state,
            &context.service,
            &tried,
            rule.max_attempts,
            only_peer.take(),
        );
        let Some(peer) = chosen else {
            // The request that the call belongs to has been admitted, and its work would be lost.
            if parent.is_some() && tried.has_rate_limited() {
                sleep(RATE_LIMIT_DELAY.mul_f64(rand::random_range(RETRY_JITTER))).await;
                tried.clear_rate_limited();
                continue;
            }
            report_no_target(state, call, &context, cause);
            let failure = failure_after(&history, RequestFailure::NotRun);
            return failed_response.ok_or(failure);
        };
        owed.set_owed(true);
        let has_alternative = || may_leave_peer(state, origin, &context, (history, &tried), peer);
        let mut report = send_attempt(state, call, &context, peer, has_alternative).await;
        record_pressure(state, &context.service, &mut report.tree_cost);
        let is_complete = is_success(&report.result);
        record_cost(state, origin, &report.tree_cost, is_complete);
        let has_child_calls = report.has_child_calls();
        only_peer = report.only_peer;
        let result = match report.result {
            Ok(response) if !response.status().is_server_error() => {
                log_response(state, call, &context, peer, response.status(), None);
                *cause = None;
                return Ok(response);
            }
            failed => failed,
        };
        let failure_cause = cause.insert(report.cause.unwrap_or_else(|| {
            let failure = result.as_ref().err();
            let outcome = failure.map_or(TARGET_ERROR, |failure| (*failure).into());
            FailureCause::new(&context.service, outcome)
        }));
        // Both sidecars end the call at the same deadline, and either may be the first to do so.
        let has_timed_out = matches!(result, Err(AttemptFailure::DeadlinePassed));
        let attempt_outcome = match result {
            Ok(response) if has_child_calls => {
                let status = response.status();
                log_response(state, call, &context, peer, status, Some(failure_cause));
                return Ok(response);
            }
            Ok(response) => {
                log_failed_attempt(state, call, &context, Some(peer), TARGET_ERROR);
                failed_response = Some(response);
                AttemptOutcome::TargetError
            }
            Err(failure) => {
                log_failed_attempt(state, call, &context, Some(peer), failure.into());
                if failure == AttemptFailure::SuspectBusy {
                    sleep(SUSPECT_DELAY.mul_f64(rand::random_range(RETRY_JITTER))).await;
                    only_peer = Some(peer);
                }
                failure.attempt_outcome()
            }
        };
        tried.record(peer, attempt_outcome);
        let time_left = state.clock.now().until(context.deadline);
        let step = history.next_step(
            attempt_outcome,
            rule.is_idempotent(),
            rule.max_attempts,
            time_left,
        );
        owed.set_owed(!history.has_not_run());
        if step != NextStep::Retry {
            return final_response(step, failed_response, has_timed_out);
        }
    }
}

/// Logs that no target is left to try; the cause is an earlier failure if there is one.
fn report_no_target<P: PlatformAdapter>(
    state: &SidecarState<P>,
    call: &ForwardedCall,
    context: &HopContext,
    cause: &mut Option<FailureCause>,
) {
    let outcome = AttemptFailure::NoTarget;
    log_failed_attempt(state, call, context, None, outcome.into());
    cause.get_or_insert_with(|| FailureCause::new(&context.service, outcome.into()));
}

/// Whether a call that ends its attempt at `peer` without a response is sent to another target, or
/// gets a response that an earlier one has sent.
fn may_leave_peer<P: PlatformAdapter>(
    state: &SidecarState<P>,
    origin: CallOrigin<'_>,
    context: &HopContext,
    (mut history, tried): (AttemptHistory, &TriedTargets),
    peer: SocketAddr,
) -> bool {
    let rule = origin.rule;
    let now = state.clock.now();
    let outcome = AttemptOutcome::Unknown;
    let time_left = now.until(context.deadline);
    let is_idempotent = rule.is_idempotent();
    match history.next_step(outcome, is_idempotent, rule.max_attempts, time_left) {
        NextStep::Retry => {
            let mut tried = tried.clone();
            tried.record(peer, outcome);
            let has_time =
                origin.parent.is_some() || state.has_time_for(&rule.name, context.deadline);
            let peers = state.peers();
            has_time && peers.has_usable(now, &context.service, &tried, rule.max_attempts)
        }
        NextStep::RelayFailure => true,
        NextStep::RespondNotRun | NextStep::RespondUnknown | NextStep::RespondRefused => false,
    }
}

/// Failure of a call that is not sent again: `not_run` if it has not run on any target.
fn failure_after(history: &AttemptHistory, not_run: RequestFailure) -> RequestFailure {
    if history.has_not_run() {
        not_run
    } else {
        RequestFailure::Unknown
    }
}

/// Checks that the key of a call is still valid; returns until when.
fn recheck_account<P: PlatformAdapter>(
    state: &SidecarState<P>,
    account: &mut RequestAccount,
    history: &AttemptHistory,
) -> Result<TimePoint, RequestFailure> {
    match account.recheck(state) {
        Ok(()) => Ok(account.valid_until),
        Err(refusal) => Err(failure_after(history, refusal.into())),
    }
}

/// Response to a call that is not sent again.
fn final_response(
    step: NextStep,
    failed_response: Option<Response<RelayBody>>,
    has_timed_out: bool,
) -> Result<Response<RelayBody>, RequestFailure> {
    match step {
        NextStep::RespondNotRun => Err(RequestFailure::NotRun),
        NextStep::RespondRefused => Err(RequestFailure::CrashesTargets),
        NextStep::RelayFailure => failed_response.ok_or(RequestFailure::Unknown),
        NextStep::RespondUnknown if has_timed_out => Err(RequestFailure::DeadlinePassed),
        NextStep::RespondUnknown | NextStep::Retry => Err(RequestFailure::Unknown),
    }
}

/// The target to send a call to, which is counted as in flight there: the one that alone may run
/// the call, or the best of those that remain.
fn choose_peer<P: PlatformAdapter>(
    state: &SidecarState<P>,
    service: &ServiceName,
    tried: &TriedTargets,
    max_attempts: u32,
    only_peer: Option<SocketAddr>,
) -> Option<SocketAddr> {
    let now = state.clock.now();
    let mut peers = state.peers();
    if let Some(peer) = only_peer {
        peers.start_call(service, peer);
        return Some(peer);
    }
    peers.choose(now, service, tried, max_attempts, &mut rand::rng())
}

fn is_success(result: &Result<Response<RelayBody>, AttemptFailure>) -> bool {
    let response = result.as_ref().ok();
    response.is_some_and(|response| response.status().is_success())
}

/// Sets the pressure of the called service in `tree_cost` and in the admission.
fn record_pressure<P: PlatformAdapter>(
    state: &SidecarState<P>,
    service: &ServiceName,
    tree_cost: &mut TreeCost,
) {
    let now = state.clock.now();
    let pressure = state.peers().pressure(now, service);
    if let Some(pressure) = pressure {
        tree_cost.set_pressure(service, pressure.total);
        state.admission().record_pressure(now, service, pressure);
    }
}

fn record_cost<P: PlatformAdapter>(
    state: &SidecarState<P>,
    origin: CallOrigin<'_>,
    tree_cost: &TreeCost,
    is_complete: bool,
) {
    if let Some(parent) = origin.parent {
        parent.record_cost(tree_cost);
    } else {
        let mut admission = state.admission();
        admission.record_cost(&origin.rule.name, origin.rank, tree_cost, is_complete);
    }
}

/// Records the cost of a call that reached its deadline. It is not known; a slot is assumed to have
/// been held until then.
pub(super) fn record_timeout<P: PlatformAdapter>(
    state: &SidecarState<P>,
    origin: CallOrigin<'_>,
    service: &ServiceName,
    elapsed: Duration,
) {
    let mut tree_cost = TreeCost::default();
    tree_cost.add(service, elapsed, 0.0);
    record_cost(state, origin, &tree_cost, false);
}
