use {
    super::{
        ContactSource, ExchangeDiff, ExchangeDigest, ExchangePush, ExchangeReply, MemberId,
        TargetAnnouncement,
    },
    crate::error::StepError,
    std::net::SocketAddr,
};

/// A datagram arrived.
#[derive(Debug)]
pub struct ReceiveDatagram(pub Vec<u8>);

/// Asks for the first message of an exchange.
#[derive(Debug)]
pub struct BuildDigest;

/// Asks for the answer to an exchange that another process opened.
#[derive(Debug)]
pub struct CompareDigest(pub ExchangeDigest);

/// Asks for what to send after an answer.
#[derive(Debug)]
pub struct BuildPush(pub ExchangeDiff);

/// Brings records of the opener.
#[derive(Debug)]
pub struct ApplyPush(pub ExchangePush);

/// Brings the records that were wanted.
#[derive(Debug)]
pub struct ApplyReply(pub ExchangeReply);

/// An exchange is over.
#[derive(Debug)]
pub struct ReportExchange {
    pub bytes: u64,
    pub error: Option<StepError>,
    /// Whether this process opened it.
    pub is_initiator: bool,
}

/// Replaces the contacts of one source.
#[derive(Debug)]
pub struct SetContacts {
    pub source: ContactSource,
    pub addresses: Vec<SocketAddr>,
}

/// The own target announced itself, or withdrew.
#[derive(Debug)]
pub struct SetTarget(pub Option<TargetAnnouncement>);

/// A policy version is now in force here.
#[derive(Debug)]
pub struct SetPolicyInForce {
    pub version: u64,
    pub hash: u64,
}

/// Spreads that this process is leaving; the answer completes once it is spread.
#[derive(Debug)]
pub struct AnnounceLeaving;

/// Asks for the counts.
#[derive(Debug)]
pub struct ReadStats;

/// Asks for the identity of this process.
#[derive(Debug)]
pub struct ReadLocalMember;

/// Ends the actor without a word to the others.
#[derive(Debug)]
pub struct StopActor;

/// Identity of this process, with the members that are not dead.
#[derive(Clone, Copy, Debug)]
pub struct LocalMember {
    pub id: MemberId,
    pub live_members: usize,
}
