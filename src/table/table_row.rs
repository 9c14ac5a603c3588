use serde::{Deserialize, Serialize};

/// A row as the table service holds it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableRow {
    pub key: String,
    /// Grows by one with each write of the row, from 1.
    pub version: u64,
    /// Identity of the last write, unique to each attempt.
    pub write_id: String,
    pub value: String,
}
