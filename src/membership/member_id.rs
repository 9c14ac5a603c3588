use {
    serde::{Deserialize, Serialize},
    std::{fmt, net::SocketAddr},
};

/// Identity of one process of a daemon.
///
/// A restart on the same address starts a new process with a later start time, which supersedes
/// the earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId {
    /// Gossip address.
    pub address: SocketAddr,
    /// Start of the process, in ms of the Unix epoch.
    pub started_ms: u64,
}

impl fmt::Display for MemberId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}@{}", self.address, self.started_ms)
    }
}
