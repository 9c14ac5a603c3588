use {
    super::{ClaimToken, JoinedCall, RecordedResponse},
    serde::{Deserialize, Serialize},
    std::time::Duration,
    strum::{Display, IntoStaticStr},
};

/// Decision on a non-idempotent call before it is dispatched.
#[derive(Debug)]
pub enum ClaimDecision {
    /// This guard alone may dispatch the call, once.
    Won(ClaimToken),
    /// The call has run and this is its response.
    Replay(RecordedResponse),
    /// The call is running, here or at another guard, and its response can be awaited.
    Joined(JoinedCall),
    /// The call may have run and is never run again. The caller gets the outcome `unknown`.
    Unknown(UnknownCause),
    /// The key was used for a different call. The caller gets status 422 and the outcome `not-run`.
    Mismatch,
    /// The key was not claimed in time and the call was not dispatched. The caller gets the outcome
    /// `not-run`.
    Unavailable { retry_after: Duration },
}

impl ClaimDecision {
    /// Name of the decision in metrics and events.
    #[must_use]
    pub fn label(&self) -> &'static str {
        match self {
            Self::Won(_) => "won",
            Self::Replay(_) => "replay",
            Self::Joined(_) => "joined",
            Self::Unknown(_) => "unknown",
            Self::Mismatch => "mismatch",
            Self::Unavailable { .. } => "unavailable",
        }
    }
}

/// Why it is not known whether a call has run.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, Display, IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum UnknownCause {
    /// The process that claimed the key has ended or does not reply.
    HolderGone,
    /// The call ended and its response is not kept.
    #[strum(serialize = "answer-not-kept")]
    #[serde(rename = "answer-not-kept")]
    ResponseNotKept,
    /// The call was dispatched and gave no complete response.
    RunFailed,
    /// The call is still running at another daemon.
    StillRunning,
    /// The deadline passed before the holder of the claim was queried.
    DeadlinePassed,
    /// The maximum number of retries already wait for the call.
    #[strum(serialize = "too-many-repeats")]
    #[serde(rename = "too-many-repeats")]
    TooManyWaiters,
    /// The row of the claim cannot be parsed.
    UnreadableClaim,
}

/// Outcome for a retry that joined a call in progress.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JoinedOutcome {
    Completed(RecordedResponse),
    Unknown(UnknownCause),
    Mismatch,
    /// Neither the joined call nor the retry was dispatched. The caller gets the outcome `not-run`.
    NotRun {
        retry_after: Duration,
    },
}
