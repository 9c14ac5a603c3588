use {
    super::header_names::{PROBLEM_TYPE, REASON_HEADER},
    crate::{
        context::{OUTCOME_HEADER, RunOutcome},
        retry::FailureScope,
    },
    bytes::Bytes,
    http::{
        HeaderMap, HeaderValue, Response, StatusCode,
        header::{CONTENT_TYPE, RETRY_AFTER},
    },
    serde::Deserialize,
    serde_json::json,
    std::time::Duration,
    strum::{Display, EnumString, IntoStaticStr},
};

const MILLIS_PER_SECOND: u128 = 1_000;
/// Delay before a retry if the refusal specifies none.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Why a call got no response from a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumString, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum RefusalKind {
    /// The request is malformed or cannot be routed.
    BadRequest,
    UnknownService,
    /// A non-idempotent call has no idempotency key.
    KeyMissing,
    /// The idempotency key was used for a different call.
    KeyMismatch,
    /// The idempotency key was used, and the outcome of that run is unknown.
    KeyUnknown,
    /// The claim of the idempotency key could not be committed.
    ClaimUnavailable,
    BodyTooLarge,
    /// The body did not arrive within the time limit.
    BodyTimeout,
    /// The call chain exceeds the maximum depth.
    ChainTooDeep,
    /// The context of the call cannot be decoded, or belongs to no call that the target of this daemon
    /// is running.
    ContextInvalid,
    /// The call was shed because of overload.
    Overload,
    /// Every target of the service is absent or failing.
    NoTarget,
    /// The daemon or its target is shutting down.
    Draining,
    /// The retry budget of the request is used up.
    RetriesExhausted,
    /// The deadline of the request has passed.
    DeadlineExceeded,
    /// The connection to the target failed, or its response was incomplete.
    #[strum(serialize = "answer-broken")]
    ResponseBroken,
    /// Too many concurrent requests.
    TooManyRequests,
    /// The sender failed the authentication as a daemon of this deployment.
    Forbidden,
}

impl RefusalKind {
    /// Whether the call may succeed at another target.
    #[must_use]
    pub const fn scope(self) -> FailureScope {
        match self {
            Self::Overload | Self::NoTarget | Self::Draining | Self::ResponseBroken => {
                FailureScope::Target
            }
            _ => FailureScope::Call,
        }
    }
}

/// Final response to a call that got no response from a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallRefusal {
    pub kind: RefusalKind,
    pub outcome: RunOutcome,
    pub detail: String,
    /// Delay before a retry.
    pub retry_after: Option<Duration>,
}

impl CallRefusal {
    /// Creates a refusal of a call that no target has started.
    pub fn not_run<D: Into<String>>(kind: RefusalKind, detail: D) -> Self {
        Self {
            kind,
            outcome: RunOutcome::NotRun,
            detail: detail.into(),
            retry_after: None,
        }
    }

    /// Creates a refusal of a call that a target may have started.
    pub fn unknown<D: Into<String>>(kind: RefusalKind, detail: D) -> Self {
        Self {
            outcome: RunOutcome::Unknown,
            ..Self::not_run(kind, detail)
        }
    }

    #[must_use]
    pub fn with_retry_after(self, retry_after: Duration) -> Self {
        Self {
            retry_after: Some(retry_after),
            ..self
        }
    }

    #[must_use]
    pub const fn status(&self) -> StatusCode {
        match self.kind {
            RefusalKind::BadRequest | RefusalKind::KeyMissing | RefusalKind::ContextInvalid => {
                StatusCode::BAD_REQUEST
            }
            RefusalKind::UnknownService => StatusCode::NOT_FOUND,
            RefusalKind::KeyMismatch => StatusCode::UNPROCESSABLE_ENTITY,
            RefusalKind::KeyUnknown => StatusCode::CONFLICT,
            RefusalKind::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            RefusalKind::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            RefusalKind::ChainTooDeep => StatusCode::LOOP_DETECTED,
            RefusalKind::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT,
            RefusalKind::ResponseBroken => StatusCode::BAD_GATEWAY,
            RefusalKind::Forbidden => StatusCode::FORBIDDEN,
            RefusalKind::ClaimUnavailable
            | RefusalKind::Overload
            | RefusalKind::NoTarget
            | RefusalKind::Draining
            | RefusalKind::RetriesExhausted
            | RefusalKind::TooManyRequests => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Reconstructs a refusal from the response of another daemon. A missing or unknown reason counts
    /// as a broken response.
    pub(crate) fn from_parts(headers: &HeaderMap, body: &[u8], outcome: RunOutcome) -> Self {
        let kind = headers
            .get(REASON_HEADER)
            .and_then(|value| value.to_str().ok()?.parse().ok())
            .unwrap_or(RefusalKind::ResponseBroken);
        let problem: ProblemDetails = serde_json::from_slice(body).unwrap_or_default();
        Self {
            kind,
            outcome,
            detail: problem.detail,
            retry_after: problem.retry_after_ms.map(Duration::from_millis),
        }
    }

    /// Delay before a retry. Refusals with a server error always have one, except for a chain that
    /// is too deep.
    fn retry_delay(&self) -> Option<Duration> {
        let is_retryable =
            self.status().is_server_error() && self.kind != RefusalKind::ChainTooDeep;
        self.retry_after
            .or(is_retryable.then_some(DEFAULT_RETRY_DELAY))
    }

    /// Formats the refusal as a problem details response (RFC 9457).
    #[must_use]
    pub fn to_response(&self) -> Response<Bytes> {
        let reason: &'static str = self.kind.into();
        let outcome: &'static str = self.outcome.into();
        let mut problem = json!({
            "type": format!("about:banyantrestle#{reason}"),
            "title": reason,
            "status": self.status().as_u16(),
            "detail": self.detail,
            "outcome": outcome,
        });
        let retry_delay = self.retry_delay();
        if let Some(delay) = retry_delay {
            problem["retry_after_ms"] = json!(delay.as_millis());
        }
        let mut response = Response::new(Bytes::from(problem.to_string()));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static(PROBLEM_TYPE));
        headers.insert(OUTCOME_HEADER, HeaderValue::from_static(outcome));
        headers.insert(REASON_HEADER, HeaderValue::from_static(reason));
        if let Some(delay) = retry_delay {
            headers.insert(RETRY_AFTER, retry_seconds(delay).into());
        }
        response
    }
}

/// Members of the problem details that other daemons read.
#[derive(Debug, Default, Deserialize)]
struct ProblemDetails {
    #[serde(default)]
    detail: String,
    #[serde(default)]
    retry_after_ms: Option<u64>,
}

/// Delay in whole seconds, rounded up, at least 1.
fn retry_seconds(delay: Duration) -> u64 {
    let seconds = delay.as_millis().div_ceil(MILLIS_PER_SECOND).max(1);
    u64::try_from(seconds).unwrap_or(u64::MAX)
}
