use serde::{Deserialize, Serialize};

/// Counts since the start of the stand-in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformCounters {
    /// Connections accepted.
    pub connections: u64,
    pub transactions: u64,
    /// Rows written in all transactions, whether applied or not.
    pub rows: u64,
    pub reads: u64,
    pub scans: u64,
    pub object_writes: u64,
    pub object_reads: u64,
    /// Requests rejected by a rate cap.
    pub capped: u64,
    /// Requests refused, or whose connection was closed, during an outage.
    pub refused: u64,
    /// Requests that took effect but whose response was not sent.
    pub lost: u64,
}
