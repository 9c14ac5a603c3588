use {
    super::AdminToken,
    crate::{
        context::{CallPriority, ServiceName},
        events::EventPage,
        membership::{MemberId, MemberRecord},
        policy::{AcceptedPolicy, ActivePolicy, PolicyDocument, SubmitError},
    },
    serde::Serialize,
    std::{future::Future, net::SocketAddr, sync::Arc},
};

/// What a daemon shows on its console and does for it.
pub trait ConsoleState: Send + Sync {
    fn admin_token(&self) -> &AdminToken;

    fn local_member(&self) -> MemberId;

    fn members(&self) -> Vec<MemberRecord>;

    fn load(&self) -> Vec<LoadView>;

    fn policy(&self) -> Arc<ActivePolicy>;

    fn events(&self, since: u64, limit: usize) -> EventPage;

    /// Metrics in the Prometheus text format.
    fn metrics(&self) -> String;

    fn readiness(&self) -> DaemonReadiness;

    /// Commits a document that was made from version `base_version`.
    fn submit_policy(
        &self,
        document: PolicyDocument,
        base_version: u64,
    ) -> impl Future<Output = Result<AcceptedPolicy, SubmitError>> + Send;
}

/// Load of one target as its daemon sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct LoadView {
    pub service: ServiceName,
    pub target: SocketAddr,
    /// Calls that run.
    pub running: u32,
    /// Calls that may run at once.
    pub limit: u32,
    /// Calls that wait.
    pub queued: u32,
    /// The lowest priority that is admitted.
    pub threshold: CallPriority,
}

/// Whether a daemon takes work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DaemonReadiness {
    Ready,
    NotReady { reason: String },
}
