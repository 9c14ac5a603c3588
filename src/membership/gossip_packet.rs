use {
    super::{MemberId, PolicyAdvertisement},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Type of a datagram with its fields.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PacketBody {
    /// Contains only updates.
    Gossip,
    Ping {
        probe: u32,
    },
    Ack {
        probe: u32,
    },
    /// Requests an indirect probe: the recipient pings `target` and forwards its ack.
    PingRequest {
        probe: u32,
        target: MemberId,
    },
    /// Sends a cookie to an unknown sender, which proves its address by returning the cookie.
    Challenge {
        cookie: u64,
    },
    /// Returns the cookie of a challenge; the first update is the record of the sender.
    Introduction {
        cookie: u64,
    },
    /// Informs a process that a process with a later start time is known on its address.
    Superseded {
        started_ms: u64,
    },
}

/// Header of a datagram; the updates follow, then the tag.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PacketHeader {
    pub sender: MemberId,
    pub recipient: SocketAddr,
    /// Start time of the recipient process, in milliseconds since the Unix epoch; 0 if the sender
    /// does not know it.
    pub recipient_started_ms: u64,
    /// Increases with each datagram of the sender.
    pub sequence: u64,
    /// Policy version in force at the sender.
    pub policy_in_force: u64,
    pub policy: Option<PolicyAdvertisement>,
    pub body: PacketBody,
}
