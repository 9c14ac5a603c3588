use {
    super::{RequestDigest, SuspectEntry},
    serde::{Deserialize, Serialize},
};

/// Which entries of the table a daemon is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordScope {
    /// All entries, for a daemon whose target is of the same service.
    Service,
    /// Entries that concern all daemons.
    Fleet,
}

/// Entry of the table in the form in which daemons exchange it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectRecord {
    pub digest: RequestDigest,
    pub entry: SuspectEntry,
}
