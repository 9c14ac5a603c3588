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

/// State of the daemon that the console shows, and the submission of policies.
pub trait ConsoleState: Send + Sync {
    fn admin_token(&self) -> &AdminToken;

    fn local_member(&self) -> MemberId;

    fn members(&self) -> Vec<MemberRecord>;

    fn load(&self) -> Vec<LoadView>;

    fn policy(&self) -> Arc<ActivePolicy>;

    /// Events after position `since` in the log, oldest first.
    fn events(&self, since: u64, limit: usize) -> EventPage;

    /// Renders the metrics in the Prometheus text format.
    fn metrics(&self) -> String;

    fn readiness(&self) -> DaemonReadiness;

    /// Commits a document that was edited from version `base_version`.
    fn submit_policy(
        &self,
        document: PolicyDocument,
        base_version: u64,
    ) -> impl Future<Output = Result<AcceptedPolicy, SubmitError>> + Send;
}

/// Load of one target as measured by its daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct LoadView {
    pub service: ServiceName,
    pub target: SocketAddr,
    /// Number of calls that the target is processing.
    pub running: u32,
    /// Maximum number of concurrent calls.
    pub limit: u32,
    /// Number of calls in the queue.
    pub queued: u32,
    /// Lowest priority that is admitted.
    pub threshold: CallPriority,
}

/// Whether a daemon accepts calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DaemonReadiness {
    Ready,
    NotReady { reason: String },
}
