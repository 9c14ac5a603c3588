use {
    super::{LeastService, RetryLimits},
    crate::{
        accounts::{ProofRule, QuotaTolerance},
        context::ServiceName,
    },
    std::{net::SocketAddr, time::Duration},
};

/// Addresses that a sidecar listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListenAddresses {
    /// Address for callers on the VM and for the target's own calls.
    pub outbound: SocketAddr,
    /// Address for calls from other sidecars.
    pub mesh: SocketAddr,
    pub readiness: SocketAddr,
    /// Address for the target's reports.
    pub admin: SocketAddr,
    /// Membership protocol, UDP and TCP on the same port.
    pub gossip: SocketAddr,
}

/// Settings of one sidecar, read at its start.
#[derive(Clone, Debug)]
pub struct SidecarSettings {
    pub region: String,
    pub data_centre: String,
    /// Service of the local target.
    pub service: ServiceName,
    /// Address of the local target.
    pub target: SocketAddr,
    pub listen: ListenAddresses,
    /// Gossip addresses of possible peer sidecars.
    pub peers: Vec<SocketAddr>,
    /// Text that all sidecars of one deployment share and no others, as long as its list of data
    /// centres stays the same; request digests and the gossip key of older builds are derived from it.
    pub deployment: String,
    /// Text that all sidecars of one deployment share and no others; the key of their gossip is
    /// derived from it.
    pub mesh_secret: String,
    /// Interval between the heartbeats of the local target.
    pub heartbeat_interval: Duration,
    /// Time from the stop signal until the process is killed.
    pub shutdown_grace: Duration,
    /// Memory at which the process is killed, in bytes.
    pub memory_limit: usize,
    pub retry_limits: RetryLimits,
    /// What each rank of requests gets of an overloaded service at least.
    pub least_service: LeastService,
    /// How long keys of accounts are accepted without news of the configuration.
    pub proof_rule: ProofRule,
    pub quota_tolerance: QuotaTolerance,
}
