use {
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Highest policy version known to a member; sent in the header of every datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PolicyAdvertisement {
    pub version: u64,
    /// Hash of the policy document.
    pub hash: u64,
    /// Mesh address of a member at which the document is in force.
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
