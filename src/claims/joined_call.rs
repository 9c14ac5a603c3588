use {
    super::{JoinedOutcome, UnknownCause},
    tokio::sync::oneshot::Receiver,
};

/// A repeat that waits for the end of a call that runs here or at another guard.
#[derive(Debug)]
pub struct JoinedCall {
    receiver: Receiver<JoinedOutcome>,
}

impl JoinedCall {
    pub(super) fn new(receiver: Receiver<JoinedOutcome>) -> Self {
        Self { receiver }
    }

    /// Resolves once the call has ended; the caller of this bounds the wait.
    pub async fn outcome(self) -> JoinedOutcome {
        self.receiver
            .await
            .unwrap_or(JoinedOutcome::Unknown(UnknownCause::RunFailed))
    }
}
