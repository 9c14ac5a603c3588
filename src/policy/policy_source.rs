use {
    super::VersionedPolicy,
    crate::error::StepError,
    std::{future::Future, net::SocketAddr},
};

/// Access to the policies in force at other daemons.
pub trait PolicySource: Clone + Send + Sync + 'static {
    /// Fetches the policy from the daemon with the mesh address `peer`.
    ///
    /// # Errors
    /// The daemon did not respond, or its response is not a policy.
    fn fetch(
        &self,
        peer: SocketAddr,
    ) -> impl Future<Output = Result<VersionedPolicy, StepError>> + Send;
}
