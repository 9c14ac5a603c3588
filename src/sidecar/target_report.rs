use {
    super::target_incarnation::TargetIncarnation, crate::context::ServiceName, std::net::SocketAddr,
};

/// Whether a target reports that it accepts new calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportedState {
    Ready,
    /// Completes its running calls and shuts down.
    Draining,
}

/// Heartbeat of the local target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetHeartbeat {
    /// Id of the target process; a later process may reuse it.
    pub instance: String,
    /// Start time of the process in milliseconds since the Unix epoch; 0 if unknown.
    pub started_ms: u64,
    /// Increases with each heartbeat of one process.
    pub sequence: u64,
    pub service: ServiceName,
    pub address: SocketAddr,
    pub slots: u32,
    pub state: ReportedState,
}

impl TargetHeartbeat {
    /// The process that sent the heartbeat.
    #[must_use]
    pub fn incarnation(&self) -> TargetIncarnation {
        TargetIncarnation {
            instance: self.instance.clone(),
            started_ms: self.started_ms,
        }
    }
}

/// Report of the local target to its sidecar.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TargetReport {
    Heartbeat(TargetHeartbeat),
    /// The target with this id shuts down.
    Leave {
        instance: String,
    },
}

impl TargetReport {
    /// Whether the target says that it is leaving.
    pub(crate) const fn is_leaving(&self) -> bool {
        match self {
            Self::Heartbeat(heartbeat) => matches!(heartbeat.state, ReportedState::Draining),
            Self::Leave { .. } => true,
        }
    }
}
