use serde::{Deserialize, Serialize};

/// What the stand-in has served since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformCounters {
    /// Connections accepted.
    pub connections: u64,
    pub transactions: u64,
    /// Rows of all transactions, applied or not.
    pub rows: u64,
    pub reads: u64,
    pub scans: u64,
    pub object_writes: u64,
    pub object_reads: u64,
    /// Requests above a rate cap.
    pub capped: u64,
    /// Requests refused or closed while down.
    pub refused: u64,
    /// Requests that took effect and whose answer was cut or never sent.
    pub lost: u64,
}
