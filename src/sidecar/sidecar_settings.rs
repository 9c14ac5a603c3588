use {
    super::RetryLimits,
    crate::context::ServiceName,
    std::{net::SocketAddr, time::Duration},
};

/// Addresses that a sidecar listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListenAddresses {
    /// Callers on the VM and the target itself.
    pub outbound: SocketAddr,
    /// Calls from other sidecars.
    pub mesh: SocketAddr,
    pub readiness: SocketAddr,
    /// Reports of the target.
    pub admin: SocketAddr,
    /// Member role, UDP and TCP on one port.
    pub gossip: SocketAddr,
}

/// What one sidecar needs to know at its start.
#[derive(Clone, Debug)]
pub struct SidecarSettings {
    pub region: String,
    pub data_centre: String,
    /// Service of the target beside the sidecar.
    pub service: ServiceName,
    pub target: SocketAddr,
    pub listen: ListenAddresses,
    /// Gossip addresses of sidecars that may be there.
    pub peers: Vec<SocketAddr>,
    /// Text that all sidecars of a deployment share and others do not; tags their gossip.
    pub deployment: String,
    pub heartbeat_interval: Duration,
    /// Time from the signal to stop until the process is killed.
    pub shutdown_grace: Duration,
    pub retry_limits: RetryLimits,
}
