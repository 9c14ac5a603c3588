use {
    super::{
        PlatformAdapter, RateStatement, ResponseNotice, admin_service::record_leaving,
        forwarded_call::header_text, live_target::LiveTarget, request_log::LineCategory,
        sidecar_state::SidecarState, unread_fields::FieldSource,
    },
    http::{HeaderMap, HeaderName, StatusCode},
    metrics::gauge,
    std::sync::Arc,
};

/// Applies what a response to the call `id` says of the local target: its rate limit, and whether it
/// is leaving.
///
/// All responses count, whatever their status, unless they are of another call or of a process that
/// is not the target.
pub(crate) fn apply_response_notice<P: PlatformAdapter>(
    state: &Arc<SidecarState<P>>,
    target: &LiveTarget,
    id: &str,
    status: StatusCode,
    headers: &HeaderMap,
) {
    let names = state.platform.headers();
    let echoed_id = header_text(headers, &names.request_id);
    let is_of_other_call = echoed_id.is_some_and(|echoed_id| echoed_id != id);
    if is_of_other_call || status == StatusCode::MISDIRECTED_REQUEST {
        return;
    }
    let notice = ResponseNotice::read(headers, names);
    let record_malformed = |name: &HeaderName| {
        let source = FieldSource::MalformedResponseHeader;
        let log = &state.log.logger;
        state.unread_fields.record(source, name.as_str(), log);
    };
    if notice.rate == RateStatement::Malformed {
        record_malformed(&names.rate_limit);
    }
    if notice.is_leaving_malformed {
        record_malformed(&names.leaving);
    }
    let (before, after) = target.semaphore.record_rate(notice.rate);
    if before != after {
        report_rate_change(state, target, id, before, after);
    }
    if notice.is_leaving {
        record_leaving(state, &target.incarnation, "response");
    }
}

fn report_rate_change<P: PlatformAdapter>(
    state: &SidecarState<P>,
    target: &LiveTarget,
    id: &str,
    before: Option<f64>,
    after: Option<f64>,
) {
    gauge!("banyantrestle_target_rate_limit").set(after.unwrap_or(f64::INFINITY));
    if !state.log.try_acquire(LineCategory::Failure) {
        return;
    }
    let describe =
        |limit: Option<f64>| limit.map_or_else(|| "none".into(), |limit| limit.to_string());
    slog::info!(state.log.logger, "target rate limit"; "limit" => describe(after),
        "previous" => describe(before), "instance" => &target.incarnation.instance,
        "request" => id);
}
