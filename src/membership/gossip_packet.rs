use {
    super::{MemberId, PolicyAdvertisement},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// What a datagram asks for or answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PacketBody {
    /// Carries updates only.
    Gossip,
    Ping {
        probe: u32,
    },
    Ack {
        probe: u32,
    },
    /// Asks the recipient to ping `target` and to hand on its acknowledgement.
    PingRequest {
        probe: u32,
        target: MemberId,
    },
    /// Asks an unknown sender to introduce itself.
    Challenge {
        cookie: u64,
    },
    /// Answers a challenge; the first update is the record of the sender.
    Introduction {
        cookie: u64,
    },
    /// Tells a process that a later one is known on its address.
    Superseded {
        started_ms: u64,
    },
}

/// Head of a datagram; updates follow it up to the tag.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PacketHeader {
    pub sender: MemberId,
    pub recipient: SocketAddr,
    /// Start time of the process that the datagram is meant for; 0 if unknown to the sender.
    pub recipient_started_ms: u64,
    /// Grows with each datagram of the sender.
    pub sequence: u64,
    /// Policy version in force at the sender.
    pub policy_in_force: u64,
    pub policy: Option<PolicyAdvertisement>,
    pub body: PacketBody,
}
