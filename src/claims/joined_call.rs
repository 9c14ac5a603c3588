use {
    super::{JoinedOutcome, UnknownCause},
    tokio::sync::oneshot::Receiver,
};

/// Retry that waits for the end of a call that runs here or at another guard.
#[derive(Debug)]
pub struct JoinedCall {
    receiver: Receiver<JoinedOutcome>,
}

impl JoinedCall {
    pub(super) fn new(receiver: Receiver<JoinedOutcome>) -> Self {
        Self { receiver }
    }

    /// Waits for the end of the call. The caller of this function must bound the wait.
    pub async fn outcome(self) -> JoinedOutcome {
        self.receiver
            .await
            .unwrap_or(JoinedOutcome::Unknown(UnknownCause::RunFailed))
    }
}
