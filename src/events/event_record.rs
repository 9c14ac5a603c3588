use {
    super::{EventKind, HybridStamp},
    serde::{Deserialize, Serialize},
};

/// One event as its process recorded it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EventRecord {
    /// Position in the log of the process, from 1, without gaps.
    pub seq: u64,
    pub stamp: HybridStamp,
    #[serde(flatten)]
    pub kind: EventKind,
}
