use {
    super::{ClaimToken, JoinedCall, RecordedResponse},
    serde::{Deserialize, Serialize},
    std::time::Duration,
    strum::{Display, IntoStaticStr},
};

/// What a guard does with a non-idempotent call.
#[derive(Debug)]
pub enum ClaimDecision {
    /// This guard alone may dispatch the call, once.
    Won(ClaimToken),
    /// The call has run; its answer.
    Replay(RecordedResponse),
    /// The call runs, here or at another guard; its answer will come.
    Joined(JoinedCall),
    /// The call may have run and is never run again: `unknown`.
    Unknown(UnknownCause),
    /// Another call has the same key: status 422, `not-run`.
    Mismatch,
    /// The key was not claimed in time and this attempt was not dispatched: `not-run`.
    Unavailable { retry_after: Duration },
}

impl ClaimDecision {
    /// Name of the verdict in metrics and events.
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

/// Why it is not known whether a call ran.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, Display, IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum UnknownCause {
    /// The process that claimed the key has ended or does not answer.
    HolderGone,
    /// The call ended and its answer is not kept.
    AnswerNotKept,
    /// The call was dispatched and gave no whole answer.
    RunFailed,
    /// The call still runs elsewhere.
    StillRunning,
    /// The deadline passed before the holder was asked.
    DeadlinePassed,
    /// As many repeats as allowed wait for the call.
    TooManyRepeats,
    /// The row of the claim cannot be read.
    UnreadableClaim,
}

/// What a repeat that joined a call is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JoinedOutcome {
    Completed(RecordedResponse),
    Unknown(UnknownCause),
    Mismatch,
    /// The joined call was not dispatched, nor was the repeat: `not-run`.
    NotRun {
        retry_after: Duration,
    },
}
