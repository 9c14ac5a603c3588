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

/// Outcome in the log of an offer that the target ran and failed by itself.
pub(crate) const FAILED_RUN: &str = "target-error";

/// Why a request ends by an answer of the sidecar's own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum ReplyReason {
    /// No configuration is known yet.
    NoPlan,
    NoRoute,
    BodyTooLarge,
    /// The body did not arrive in time; nothing was passed on.
    BodyLate,
    /// The front of the chain has no room for requests of this rank.
    NoRoom,
    /// No target took the request, and it has not run.
    NotRun,
    /// The request may have run, and what came of it is not known.
    Unknown,
    /// The time of the route or of the caller is over.
    TimeOver,
    TooDeep,
}

/// What an outcome in a log means, of an offer or of a whole request.
pub(crate) fn explain_outcome(outcome: &str) -> Option<&'static str> {
    let failure = outcome.parse().ok().map(HopFailure::explanation);
    let reason = outcome.parse().ok().map(ReplyReason::explanation);
    failure.or(reason).or_else(|| {
        let is_failed_run = outcome == FAILED_RUN;
        is_failed_run.then_some("the target ran the call and answered by a failure")
    })
}

impl ReplyReason {
    const fn explanation(self) -> &'static str {
        match self {
            Self::NoPlan => "no configuration was known yet; not run",
            Self::NoRoute => "no route of the configuration in force takes the request",
            Self::BodyTooLarge => "the body is larger than the configuration allows; not run",
            Self::BodyLate => "the body did not arrive in time; not run",
            Self::NoRoom => "the front of the chain had no room for this rank; not run",
            Self::NotRun => "no target took the request; not run",
            Self::Unknown => "the request may have run; what came of it is not known",
            Self::TimeOver => "the time of the route or of the caller was over",
            Self::TooDeep => "the chain of calls is deeper than is served",
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

/// An answer of the sidecar's own; `retry_after` is when there is room again.
pub(crate) fn local_reply(
    reason: ReplyReason,
    id: &str,
    retry_after: Option<Duration>,
    names: &HeaderNames,
) -> Response<RelayBody> {
    let text: &'static str = reason.into();
    let mut response = Response::new(ResponseBody::whole(
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
