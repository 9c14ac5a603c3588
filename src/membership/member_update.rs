use {
    super::{MemberId, MemberRecord, MemberStatus},
    serde::{Deserialize, Serialize},
};

/// Disseminated change of one member.
///
/// A member disseminates its own changes as a complete record. Changes that other members observe
/// are sent as a status, which is about a fifth of the size.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberUpdate {
    Record(Box<MemberRecord>),
    Status(MemberStatus),
}

impl MemberUpdate {
    #[must_use]
    pub const fn id(&self) -> MemberId {
        self.status().id
    }

    /// The update without the content of a record.
    #[must_use]
    pub const fn status(&self) -> MemberStatus {
        match self {
            Self::Record(record) => record.status(),
            Self::Status(status) => *status,
        }
    }
}
