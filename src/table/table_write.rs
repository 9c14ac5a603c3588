use {
    super::TableRow,
    serde::{Deserialize, Serialize},
};

/// One row of a transaction; its condition does not affect the other rows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableWrite {
    pub table: String,
    pub key: String,
    pub write_id: String,
    /// New value of the row; if absent, the row is deleted.
    pub value: Option<String>,
    pub condition: WriteCondition,
}

/// Condition on the current row for the write to take effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WriteCondition {
    Always,
    Absent,
    /// The row has this version.
    Version(u64),
    /// The last write of the row has this identity.
    WriteId(String),
}

/// Result for one row of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WriteResult {
    Applied {
        version: u64,
    },
    /// The condition did not hold; holds the current row, if any.
    Conflict {
        row: Option<TableRow>,
    },
}
