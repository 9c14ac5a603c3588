use {
    serde::{Deserialize, Serialize},
    std::{fmt, net::SocketAddr},
};

/// Identity of one process of a daemon.
///
/// A restarted daemon keeps its address and has a later start time, so it supersedes the earlier
/// process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId {
    /// Gossip address.
    pub address: SocketAddr,
    /// Start time of the process, in milliseconds since the Unix epoch.
    pub started_ms: u64,
}

impl fmt::Display for MemberId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}@{}", self.address, self.started_ms)
    }
}
