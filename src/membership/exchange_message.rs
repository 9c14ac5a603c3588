use {
    super::{MemberId, MemberRecord, MemberSummary, TableDigest},
    serde::{Deserialize, Serialize},
};

/// Records that one message of an exchange may carry.
pub const MAX_EXCHANGE_RECORDS: usize = super::MAX_MEMBERS;

/// First message of an exchange: what the opener holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExchangeDigest {
    pub sender: MemberId,
    pub digest: TableDigest,
}

/// Second message: what the other side holds in the buckets that differ.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExchangeDiff {
    /// Bit `i` is set where bucket `i` differs.
    pub buckets: u64,
    pub summaries: Vec<MemberSummary>,
}

/// Third message: newer records of the opener, and the members whose records it wants.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExchangePush {
    pub records: Vec<MemberRecord>,
    pub wanted: Vec<MemberId>,
}

/// Last message: the wanted records.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExchangeReply {
    pub records: Vec<MemberRecord>,
}
