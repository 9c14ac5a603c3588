use {
    crate::response::ResponseCheck, banyantrestle::context::RunOutcome, http::StatusCode,
    std::time::Duration,
};

/// Result of one call at its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallResult {
    /// The complete response to this call.
    Complete,
    /// A response whose status is not a success.
    Refused {
        status: StatusCode,
        outcome: Option<RunOutcome>,
        retry_after: Option<Duration>,
        /// `detail` of the problem details (RFC 9457).
        detail: String,
    },
    /// The transfer ended without an error, but the response is not that of the call.
    WrongResponse(ResponseCheck),
    /// The connection failed or was closed midway; contains the error message.
    Failed(String),
    TimedOut,
}

impl CallResult {
    #[must_use]
    pub fn is_complete(&self) -> bool {
        *self == Self::Complete
    }

    /// Outcome that a refusal reports, if any.
    #[must_use]
    pub fn outcome(&self) -> Option<RunOutcome> {
        match self {
            Self::Refused { outcome, .. } => *outcome,
            _ => None,
        }
    }
}
