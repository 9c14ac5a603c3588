use {
    super::{
        HeaderNames,
        hop_outcome::{HopFailure, RelayBody},
    },
    crate::net::ResponseBody,
    bytes::Bytes,
    http::{HeaderValue, Response, StatusCode, header::RETRY_AFTER},
    std::time::Duration,
    strum::{Display, EnumString, IntoStaticStr},
};

/// Logged outcome of an attempt that the target ran and answered with a server error.
pub(crate) const TARGET_ERROR: &str = "target-error";

/// Why the sidecar itself answers a request instead of relaying a target's response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum ReplyReason {
    /// No configuration has been received yet.
    NoPlan,
    NoRoute,
    BodyTooLarge,
    /// The request body did not arrive in time; nothing was forwarded.
    BodyLate,
    /// The ingress sidecar refused the request because a service it calls has no capacity for its
    /// rank.
    NoRoom,
    /// No target accepted the request, and it has not run.
    NotRun,
    /// The request may have run; its outcome is unknown.
    Unknown,
    /// The deadline of the route or of the caller has passed.
    TimeOver,
    TooDeep,
}

/// Explains a logged outcome of an attempt or of a whole request.
pub(crate) fn explain_outcome(outcome: &str) -> Option<&'static str> {
    let failure = outcome.parse().ok().map(HopFailure::explanation);
    let reason = outcome.parse().ok().map(ReplyReason::explanation);
    failure.or(reason).or_else(|| {
        let is_target_error = outcome == TARGET_ERROR;
        is_target_error.then_some("the target ran the call and responded with a failure")
    })
}

impl ReplyReason {
    const fn explanation(self) -> &'static str {
        match self {
            Self::NoPlan => "no configuration had been received yet; not run",
            Self::NoRoute => "no route of the configuration in force matches the request",
            Self::BodyTooLarge => "the body exceeded the configured limit; not run",
            Self::BodyLate => "the body did not arrive in time; not run",
            Self::NoRoom => "the ingress sidecar had no capacity for this rank; not run",
            Self::NotRun => "no target accepted the request; not run",
            Self::Unknown => "the request may have run; its outcome is unknown",
            Self::TimeOver => "the deadline of the route or of the caller had passed",
            Self::TooDeep => "the call chain was deeper than the limit",
        }
    }

    const fn status(self) -> StatusCode {
        match self {
            Self::NoPlan | Self::NoRoom | Self::NotRun => StatusCode::SERVICE_UNAVAILABLE,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyLate => StatusCode::REQUEST_TIMEOUT,
            Self::Unknown => StatusCode::BAD_GATEWAY,
            Self::TimeOver => StatusCode::GATEWAY_TIMEOUT,
            Self::TooDeep => StatusCode::LOOP_DETECTED,
        }
    }
}

/// Builds the sidecar's own response; `retry_after` is the delay until capacity is expected.
pub(crate) fn local_reply(
    reason: ReplyReason,
    id: &str,
    retry_after: Option<Duration>,
    names: &HeaderNames,
) -> Response<RelayBody> {
    let text: &'static str = reason.into();
    let mut response = Response::new(ResponseBody::buffered(
        Bytes::from_static(text.as_bytes()),
        None,
    ));
    *response.status_mut() = reason.status();
    let headers = response.headers_mut();
    if let Ok(id) = HeaderValue::from_str(id) {
        headers.insert(&names.request_id, id);
    }
    if let Some(wait) = retry_after {
        let seconds = format!("{:.3}", wait.as_secs_f64());
        if let Ok(seconds) = HeaderValue::try_from(seconds) {
            headers.insert(RETRY_AFTER, seconds);
        }
    }
    response
}
