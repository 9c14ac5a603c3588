use {
    crate::context::ServiceName,
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
    strum::{Display, IntoStaticStr},
};

/// Whether a target accepts new calls.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, Display, IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum TargetState {
    Serving,
    Draining,
}

/// Announcement of a target to its daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetAnnouncement {
    pub service: ServiceName,
    pub address: SocketAddr,
    /// Maximum number of concurrent calls of the target.
    pub slots: u32,
    /// Maximum number of connections that the target accepts.
    pub connections: u32,
    #[serde(default = "default_state")]
    pub state: TargetState,
    #[serde(default)]
    pub health_path: Option<String>,
    #[serde(default)]
    pub load_path: Option<String>,
}

fn default_state() -> TargetState {
    TargetState::Serving
}
