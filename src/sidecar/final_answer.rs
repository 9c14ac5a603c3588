use {
    super::{HeaderDialect, hop_outcome::RelayBody},
    crate::net::AnswerBody,
    bytes::Bytes,
    http::{HeaderValue, Response, StatusCode, header::RETRY_AFTER},
    std::time::Duration,
    strum::{Display, IntoStaticStr},
};

/// Why a request ends by an answer of the sidecar's own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum FinalReason {
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

impl FinalReason {
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
pub(crate) fn final_answer(
    reason: FinalReason,
    id: &str,
    retry_after: Option<Duration>,
    names: &HeaderDialect,
) -> Response<RelayBody> {
    let text: &'static str = reason.into();
    let mut response = Response::new(AnswerBody::whole(Bytes::from_static(text.as_bytes()), None));
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
