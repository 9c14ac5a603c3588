use {
    super::{MemberId, MemberRecord, MemberSummary, TableDigest},
    serde::{Deserialize, Serialize},
};

/// Maximum number of records in one message of an exchange.
pub const MAX_EXCHANGE_RECORDS: usize = super::MAX_MEMBERS;

/// First message of an exchange: the digest of the initiator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExchangeDigest {
    pub sender: MemberId,
    pub digest: TableDigest,
}

/// Second message: summaries of the members of the responder in the buckets that differ.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExchangeDiff {
    /// Bit `i` is set where bucket `i` differs.
    pub buckets: u64,
    pub summaries: Vec<MemberSummary>,
}

/// Third message: records that are newer at the initiator, and the members whose records it
/// requests.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExchangePush {
    pub records: Vec<MemberRecord>,
    pub wanted: Vec<MemberId>,
}

/// Last message: the requested records.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExchangeReply {
    pub records: Vec<MemberRecord>,
}
