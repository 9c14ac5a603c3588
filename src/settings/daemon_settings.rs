use {
    serde::{Deserialize, Serialize},
    std::{fmt, net::SocketAddr},
};

/// Settings of one daemon. Its debug form leaves the secrets out.
#[derive(Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DaemonSettings {
    pub region: String,
    pub data_centre: String,
    pub listen: ListenSettings,
    pub platform: PlatformSettings,
    /// Gossip addresses of daemons to join when the platform is down.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// Secret that all daemons of the deployment share.
    pub shared_secret: String,
    /// Token that console writes require.
    pub admin_token: String,
    #[serde(default)]
    pub log: LogSettings,
    #[serde(default)]
    pub limits: LimitSettings,
}

impl fmt::Debug for DaemonSettings {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("DaemonSettings")
            .field("region", &self.region)
            .field("data_centre", &self.data_centre)
            .field("listen", &self.listen)
            .field("platform", &self.platform)
            .field("peers", &self.peers)
            .field("log", &self.log)
            .field("limits", &self.limits)
            .finish_non_exhaustive()
    }
}

/// Addresses that a daemon listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// Callers from outside.
    pub edge: SocketAddr,
    /// The target beside the daemon: announcements and its calls to other services.
    pub local: SocketAddr,
    /// Calls from other daemons.
    pub mesh: SocketAddr,
    /// Membership, UDP and TCP on one port.
    pub gossip: SocketAddr,
    /// Operators: console, events, metrics, health.
    pub admin: SocketAddr,
}

/// How to reach the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    pub address: SocketAddr,
    /// Longest wait for an answer of the table service, in ms.
    #[serde(default = "default_platform_timeout_ms")]
    pub timeout_ms: u64,
}

/// What is logged.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogSettings {
    /// One of `error`, `warning`, `info`, `debug`.
    pub level: String,
}

/// Bounds of one daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitSettings {
    /// Bytes of all headers of a request.
    pub header_bytes: usize,
    /// Bytes of a request body that is kept for a retry.
    pub request_buffer_bytes: usize,
    /// Bytes of an answer that is kept until it is whole.
    pub answer_buffer_bytes: usize,
    /// Longest time to receive the headers of a request, in ms.
    pub header_timeout_ms: u64,
    /// Open connections on one listener.
    pub connections: usize,
    /// Longest graceful shutdown, in s.
    pub shutdown_s: u64,
    /// Time after which a mesh connection without an answer to PING is closed, in ms.
    pub silence_ms: u64,
    /// Bytes of an answer to a non-idempotent call that is kept in the table service; 0 for none.
    pub row_answer_bytes: usize,
    /// Events kept for the time line.
    pub events: usize,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            level: "info".into(),
        }
    }
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            header_bytes: 32 * 1024,
            request_buffer_bytes: 256 * 1024,
            answer_buffer_bytes: 256 * 1024,
            header_timeout_ms: 10_000,
            connections: 4_096,
            shutdown_s: 60,
            silence_ms: 1_000,
            row_answer_bytes: 1_024,
            events: 8_192,
        }
    }
}

fn default_platform_timeout_ms() -> u64 {
    500
}
