use {
    serde::{Deserialize, Serialize},
    std::{fmt, net::SocketAddr},
};

/// Settings of one daemon; the `Debug` output omits the secrets.
#[derive(Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DaemonSettings {
    pub region: String,
    pub data_centre: String,
    pub listen: ListenSettings,
    pub platform: PlatformSettings,
    /// Gossip addresses of daemons to join if the platform is unavailable.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// Secret shared by all daemons of the deployment.
    pub shared_secret: String,
    /// Token that authorizes changes through the console and its API.
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
    /// Requests from callers outside the deployment.
    pub edge: SocketAddr,
    /// Announcements of the local target, and its calls to other services.
    pub local: SocketAddr,
    /// Calls from other daemons.
    pub mesh: SocketAddr,
    /// Membership gossip, over UDP and TCP on the same port.
    pub gossip: SocketAddr,
    /// Console, events, metrics and health checks for operators.
    pub admin: SocketAddr,
}

/// Connection to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    pub address: SocketAddr,
    /// Maximum time to wait for a response of the table service, in ms.
    #[serde(default = "default_platform_timeout_ms")]
    pub timeout_ms: u64,
}

/// Settings of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogSettings {
    /// One of `error`, `warning`, `info`, `debug`.
    pub level: String,
}

/// Resource and time limits of one daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitSettings {
    /// Maximum total size of the headers of a request, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request body that is buffered for a retry, in bytes.
    pub request_buffer_bytes: usize,
    /// Maximum size of a response that is buffered until it is complete, in bytes.
    #[serde(rename = "answer_buffer_bytes")]
    pub response_buffer_bytes: usize,
    /// Maximum time to receive the headers of a request, in ms.
    pub header_timeout_ms: u64,
    /// Maximum number of open connections of one listener.
    pub connections: usize,
    /// Maximum duration of a graceful shutdown, in s.
    pub shutdown_s: u64,
    /// Time after which a mesh connection is closed if a PING remains unanswered, in ms.
    pub silence_ms: u64,
    /// Maximum size of a response to a non-idempotent call that is stored in the table service, in
    /// bytes; 0 stores none.
    #[serde(rename = "row_answer_bytes")]
    pub row_response_bytes: usize,
    /// Maximum number of events kept for the timeline.
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
            response_buffer_bytes: 256 * 1024,
            header_timeout_ms: 10_000,
            connections: 4_096,
            shutdown_s: 60,
            silence_ms: 1_000,
            row_response_bytes: 1_024,
            events: 8_192,
        }
    }
}

fn default_platform_timeout_ms() -> u64 {
    500
}
