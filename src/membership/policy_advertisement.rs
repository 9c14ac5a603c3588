use {
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Highest policy version that a member knows, as sent with every datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PolicyAdvertisement {
    pub version: u64,
    pub hash: u64,
    /// Mesh address of a member that has the document in force.
    pub holder: SocketAddr,
}

/// A policy version that was advertised by gossip, and where to fetch it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PolicyLocation {
    pub version: u64,
    pub hash: u64,
    pub holder: SocketAddr,
}

impl From<PolicyAdvertisement> for PolicyLocation {
    fn from(advertisement: PolicyAdvertisement) -> Self {
        Self {
            version: advertisement.version,
            hash: advertisement.hash,
            holder: advertisement.holder,
        }
    }
}
