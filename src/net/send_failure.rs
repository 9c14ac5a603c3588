use crate::error::StepError;

/// Why a call to a daemon or a target got no response.
#[derive(Debug)]
pub(crate) enum SendFailure {
    /// No byte of the call was sent, or the peer has refused it unprocessed.
    NotSent(StepError),
    /// The peer may have received the call.
    Broken(StepError),
    /// The target sent what is no response to the call.
    BadResponse(StepError),
    /// The deadline passed after the call was sent.
    TimedOut(StepError),
}

impl SendFailure {
    pub(crate) fn into_error(self) -> StepError {
        match self {
            Self::NotSent(error)
            | Self::Broken(error)
            | Self::BadResponse(error)
            | Self::TimedOut(error) => error,
        }
    }
}
