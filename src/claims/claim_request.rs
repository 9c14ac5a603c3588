use {
    super::{CallFingerprint, ClaimKey},
    crate::{context::RequestId, time::TimePoint},
    std::time::Duration,
};

/// Non-idempotent call that a guard claims in order to dispatch it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimRequest {
    pub key: ClaimKey,
    pub fingerprint: CallFingerprint,
    pub request: RequestId,
    pub deadline: TimePoint,
    /// Time for which the call may be retried.
    pub window: Duration,
}
