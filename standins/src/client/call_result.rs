use {
    crate::response::ResponseCheck, banyantrestle::context::RunOutcome, http::StatusCode,
    std::time::Duration,
};

/// What became of one call, as its caller saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallResult {
    /// The whole answer to this very call.
    Complete,
    /// An answer with another status than success.
    Refused {
        status: StatusCode,
        outcome: Option<RunOutcome>,
        retry_after: Option<Duration>,
        /// What the problem details say (RFC 9457).
        detail: String,
    },
    /// The answer was whole by the protocol but not that of the call.
    WrongResponse(ResponseCheck),
    /// The connection failed or the answer broke off.
    Failed(String),
    TimedOut,
}

impl CallResult {
    #[must_use]
    pub fn is_complete(&self) -> bool {
        *self == Self::Complete
    }

    /// What the system said of the call, if it said anything.
    #[must_use]
    pub fn outcome(&self) -> Option<RunOutcome> {
        match self {
            Self::Refused { outcome, .. } => *outcome,
            _ => None,
        }
    }
}
