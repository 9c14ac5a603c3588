use {
    super::{
        HeaderNames,
        attempt_report::{AttemptFailure, RelayBody},
    },
    crate::net::ResponseBody,
    bytes::Bytes,
    http::{HeaderValue, Response, StatusCode, header::RETRY_AFTER},
    std::time::Duration,
    strum::{Display, EnumString, IntoStaticStr},
};

/// Outcome in the log of an attempt to which the target responded with a server error.
pub(crate) const TARGET_ERROR: &str = "target-error";

/// Cause in the log of a request that was refused at the ingress sidecar because all targets of its
/// service have used up their rate limits.
pub(crate) const RATE_LIMIT_CAUSE: &str = "rate-limit";

/// Why the sidecar responds to a request itself instead of relaying a target's response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum RequestFailure {
    /// No configuration has been received yet.
    #[strum(serialize = "no-plan")]
    NoConfig,
    NoRoute,
    BodyTooLarge,
    /// The bodies that the sidecar holds leave no memory for that of the request; nothing was
    /// forwarded.
    NoMemory,
    /// The request body did not arrive in time; nothing was forwarded.
    BodyLate,
    /// The ingress sidecar refused the request because a service it calls has no capacity for its
    /// rank.
    #[strum(serialize = "no-room")]
    NoCapacity,
    /// The request carries no key of an account, or not in the platform's form.
    NoKey,
    /// No account holds the key that the request carries.
    UnknownKey,
    /// It is not known whether the key is still valid.
    KeyUnproven,
    /// The request carries no key, and may be made for a call that began before this process did.
    ParentUnknown,
    /// The account has used up its limit.
    QuotaExhausted,
    /// No quota owner of the account could be reached.
    QuotaUnknown,
    /// No target accepted the request, and it has not run.
    NotRun,
    /// The sidecar shuts down, and the request might not end before it does; it has not run.
    ShuttingDown,
    /// The request may have run; its outcome is unknown.
    Unknown,
    /// The deadline of the route or of the caller has passed.
    #[strum(serialize = "time-over")]
    DeadlinePassed,
    TooDeep,
    /// Targets have crashed each time they ran the request.
    CrashesTargets,
}

/// Explains a logged outcome of an attempt or of a whole request.
pub(crate) fn explain_outcome(outcome: &str) -> Option<&'static str> {
    let attempt_failure = outcome.parse().ok().map(AttemptFailure::explanation);
    let request_failure = outcome.parse().ok().map(RequestFailure::explanation);
    attempt_failure.or(request_failure).or_else(|| {
        let is_target_error = outcome == TARGET_ERROR;
        is_target_error.then_some("the target ran the call and responded with a failure")
    })
}

impl RequestFailure {
    const fn explanation(self) -> &'static str {
        match self {
            Self::NoConfig => "no configuration had been received yet; not run",
            Self::NoRoute => "no route of the configuration in force matches the request",
            Self::BodyTooLarge => "the body exceeded the configured limit; not run",
            Self::NoMemory => {
                "the bodies of other requests left no memory for that of the request; not run"
            }
            Self::BodyLate => "the body did not arrive in time; not run",
            Self::NoCapacity => {
                "a service that the request calls had no capacity for its rank; not run"
            }
            Self::NoKey => "the request carried no key of an account, or a malformed one; not run",
            Self::UnknownKey => "no account of the configuration holds the key; not run",
            Self::KeyUnproven => {
                "the sidecar could not prove that its configuration was new enough for keys; not run"
            }
            Self::ParentUnknown => {
                "the request carried no key, and the sidecar did not know all calls of its target; not run"
            }
            Self::QuotaExhausted => "the account had used up its limit; not run",
            Self::QuotaUnknown => "no quota owner of the account could be reached; not run",
            Self::NotRun => "no target accepted the request; not run",
            Self::ShuttingDown => {
                "the sidecar was shutting down and might have ended before the request; not run"
            }
            Self::Unknown => "the request may have run; its outcome is unknown",
            Self::DeadlinePassed => "the deadline of the route or of the caller had passed",
            Self::CrashesTargets => {
                "targets have crashed each time they ran the request; it is not run again"
            }
            Self::TooDeep => "the call chain was deeper than the limit",
        }
    }

    /// Whether the request has not run and may be repeated soon.
    pub(crate) const fn is_temporary(self) -> bool {
        matches!(self, Self::NotRun | Self::ShuttingDown | Self::KeyUnproven)
    }

    /// Whether the request has not run on any target.
    pub(crate) const fn has_not_run(self) -> bool {
        matches!(
            self,
            Self::NotRun | Self::ShuttingDown | Self::KeyUnproven | Self::NoKey | Self::UnknownKey
        )
    }

    const fn status(self) -> StatusCode {
        match self {
            Self::NoConfig
            | Self::NoCapacity
            | Self::NoMemory
            | Self::KeyUnproven
            | Self::ParentUnknown
            | Self::QuotaUnknown
            | Self::ShuttingDown
            | Self::NotRun => StatusCode::SERVICE_UNAVAILABLE,
            Self::NoKey | Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::QuotaExhausted => StatusCode::TOO_MANY_REQUESTS,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyLate => StatusCode::REQUEST_TIMEOUT,
            Self::Unknown => StatusCode::BAD_GATEWAY,
            Self::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
            Self::TooDeep => StatusCode::LOOP_DETECTED,
            // Callers repeat a request after a server error, and would crash further targets.
            Self::CrashesTargets => StatusCode::BAD_REQUEST,
        }
    }
}

/// Builds the sidecar's own response; `retry_after` is the delay until capacity is expected.
pub(crate) fn local_response(
    failure: RequestFailure,
    id: &str,
    retry_after: Option<Duration>,
    names: &HeaderNames,
) -> Response<RelayBody> {
    let text: &'static str = failure.into();
    let mut response = Response::new(ResponseBody::buffered(
        Bytes::from_static(text.as_bytes()),
        None,
    ));
    *response.status_mut() = failure.status();
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
