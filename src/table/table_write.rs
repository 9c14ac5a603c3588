use {
    super::TableRow,
    serde::{Deserialize, Serialize},
};

/// One row of a transaction; its condition stands for itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableWrite {
    pub table: String,
    pub key: String,
    pub write_id: String,
    /// The row is deleted if absent.
    pub value: Option<String>,
    pub condition: WriteCondition,
}

/// What must hold of the row for the write to take effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WriteCondition {
    Always,
    Absent,
    /// The row stands at this version.
    Version(u64),
    /// The row was last written by this write.
    WriteId(String),
}

/// What became of one row of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WriteResult {
    Applied {
        version: u64,
    },
    /// The condition did not hold; the row as it stands, if any.
    Conflict {
        row: Option<TableRow>,
    },
}
