use {
    super::VersionedPolicy,
    crate::error::StepError,
    std::{future::Future, net::SocketAddr},
};

/// Access to the policy in force at another daemon.
pub trait PolicySource: Clone + Send + Sync + 'static {
    /// Fetches the policy from the daemon with the mesh address `peer`.
    ///
    /// # Errors
    /// The daemon did not answer, or not with a policy.
    fn fetch(
        &self,
        peer: SocketAddr,
    ) -> impl Future<Output = Result<VersionedPolicy, StepError>> + Send;
}
