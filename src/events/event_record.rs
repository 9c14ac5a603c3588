//! Events with their position and stamp.

use {
    super::{EventKind, HybridStamp},
    serde::{Deserialize, Serialize},
};

/// One event as recorded by its process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EventRecord {
    /// Position in the log of the process, which starts at 1 and has no gaps.
    pub seq: u64,
    pub stamp: HybridStamp,
    #[serde(flatten)]
    pub kind: EventKind,
}
