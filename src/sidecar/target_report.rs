use {crate::context::ServiceName, std::net::SocketAddr};

/// Whether a target says that it takes new calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportedState {
    Ready,
    /// Ends what it runs and leaves.
    Draining,
}

/// A heartbeat of the target beside the daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetHeartbeat {
    /// Id of one start of the target; a start may reuse the id of the one before.
    pub instance: String,
    /// Start of the target, in ms of the Unix epoch; 0 if it does not say.
    pub started_ms: u64,
    /// Grows with each heartbeat of one start.
    pub sequence: u64,
    pub service: ServiceName,
    pub address: SocketAddr,
    pub slots: u32,
    pub state: ReportedState,
}

/// What a target tells the daemon beside it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TargetReport {
    Heartbeat(TargetHeartbeat),
    /// The target of this id leaves.
    Leave {
        instance: String,
    },
}
