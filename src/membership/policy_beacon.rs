use {
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Highest policy version that a member has heard of, as it rides on every datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PolicyBeacon {
    pub version: u64,
    pub hash: u64,
    /// Mesh address of a member that has the document in force.
    pub holder: SocketAddr,
}

/// A policy version heard of by gossip, and where to fetch it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PolicySighting {
    pub version: u64,
    pub hash: u64,
    pub from_mesh: SocketAddr,
}

impl From<PolicyBeacon> for PolicySighting {
    fn from(beacon: PolicyBeacon) -> Self {
        Self {
            version: beacon.version,
            hash: beacon.hash,
            from_mesh: beacon.holder,
        }
    }
}
