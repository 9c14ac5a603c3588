use {
    super::{
        ContactSource, ExchangeDiff, ExchangeDigest, ExchangePush, ExchangeReply, MemberId,
        TargetAnnouncement,
    },
    crate::error::StepError,
    std::net::SocketAddr,
};

/// Passes a received datagram to the core.
#[derive(Debug)]
pub struct ReceiveDatagram(pub Vec<u8>);

/// Requests the first message of an exchange.
#[derive(Debug)]
pub struct BuildDigest;

/// Requests the response to the digest of an initiator.
#[derive(Debug)]
pub struct CompareDigest(pub ExchangeDigest);

/// Requests the third message, which depends on the differences that the responder reported.
#[derive(Debug)]
pub struct BuildPush(pub ExchangeDiff);

/// Delivers the records of the initiator and requests the reply.
#[derive(Debug)]
pub struct ApplyPush(pub ExchangePush);

/// Delivers the records that this process requested.
#[derive(Debug)]
pub struct ApplyReply(pub ExchangeReply);

/// Reports the end of an exchange.
#[derive(Debug)]
pub struct ReportExchange {
    pub bytes: u64,
    pub error: Option<StepError>,
    /// Whether this process initiated the exchange.
    pub is_initiator: bool,
}

/// Replaces the contacts from one source.
#[derive(Debug)]
pub struct SetContacts {
    pub source: ContactSource,
    pub addresses: Vec<SocketAddr>,
}

/// Sets or removes the announcement of the local target.
#[derive(Debug)]
pub struct SetTarget(pub Option<TargetAnnouncement>);

/// Reports the policy version that is now in force in this process.
#[derive(Debug)]
pub struct SetPolicyInForce {
    pub version: u64,
    pub hash: u64,
}

/// Announces that this process is leaving; the returned receiver resolves once the announcement is
/// disseminated.
#[derive(Debug)]
pub struct AnnounceLeaving;

/// Requests the counters and member counts.
#[derive(Debug)]
pub struct ReadStats;

/// Requests the identity of this process.
#[derive(Debug)]
pub struct ReadLocalMember;

/// Stops the actor without notifying other members.
#[derive(Debug)]
pub struct StopActor;

/// Identity of this process and the number of members that are not dead, including this process.
#[derive(Clone, Copy, Debug)]
pub struct LocalMember {
    pub id: MemberId,
    pub live_members: usize,
}
