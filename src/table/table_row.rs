use serde::{Deserialize, Serialize};

/// A row as stored in the table service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableRow {
    pub key: String,
    /// Starts at 1 and increases by 1 with each write of the row.
    pub version: u64,
    /// Identity of the last write, which no other write shares.
    pub write_id: String,
    pub value: String,
}
