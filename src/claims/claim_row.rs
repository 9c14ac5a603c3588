use {
    super::{HeldClaim, WriteId, claim_key::row_prefix},
    crate::{
        context::ServiceName,
        table::{TableRow, TableWrite, WriteCondition, WriteResult},
    },
    serde::{Deserialize, Serialize},
};

/// Table that stores all claims.
pub const CLAIMS_TABLE: &str = "claims";
/// Maximum length of each text of a row that a batcher accepts, in bytes.
pub const MAX_ROW_TEXT_BYTES: usize = 3 * 1_024;

/// Row that a guard sends to a batcher for commit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRow {
    pub key: String,
    pub write_id: WriteId,
    pub change: RowChange,
}

/// Change that is to be made to a row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RowChange {
    /// Claims a key that has no row.
    Insert { value: String },
    /// Replaces the claim of an attempt that its holder has abandoned, or adds the recorded
    /// response to the writer's own claim.
    Replace { old: WriteId, value: String },
    /// Releases a claim that was not dispatched.
    Delete { old: WriteId },
}

/// Outcome of the change of a row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RowOutcome {
    Applied,
    /// Not applied: the table has this row.
    Held(HeldClaim),
    /// Not applied: there is no such row.
    Vacant,
    /// Not applied: the table service refused.
    Refused,
    /// Not applied: the queue of the batcher is full.
    Full,
    /// The change may have been applied, or may still be applied later.
    Unknown,
}

/// Outcome of one row, with the id of the write that it belongs to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRowResult {
    pub write_id: WriteId,
    pub outcome: RowOutcome,
}

impl ClaimRow {
    /// Whether a batcher may commit the row for a guard of `service`.
    #[must_use]
    pub fn is_valid(&self, service: &ServiceName) -> bool {
        let texts = match &self.change {
            RowChange::Insert { value } => ["", value],
            RowChange::Replace { old, value } => [old.as_str(), value],
            RowChange::Delete { old } => [old.as_str(), ""],
        };
        let is_bounded = |text: &str| text.len() <= MAX_ROW_TEXT_BYTES;
        self.key.starts_with(&row_prefix(service))
            && is_bounded(&self.key)
            && is_bounded(self.write_id.as_str())
            && texts.into_iter().all(is_bounded)
    }

    /// Whether the row adds the recorded response to the claim of the same write.
    #[must_use]
    pub fn is_recording(&self) -> bool {
        matches!(&self.change, RowChange::Replace { old, .. } if *old == self.write_id)
    }

    #[must_use]
    pub fn to_write(&self) -> TableWrite {
        let (value, condition) = match &self.change {
            RowChange::Insert { value } => (Some(value), WriteCondition::Absent),
            RowChange::Replace { old, value } => (Some(value), is_written_by(old)),
            RowChange::Delete { old } => (None, is_written_by(old)),
        };
        TableWrite {
            table: CLAIMS_TABLE.into(),
            key: self.key.clone(),
            write_id: self.write_id.as_str().into(),
            value: value.cloned(),
            condition,
        }
    }

    /// Outcome by the result of the row in a transaction.
    #[must_use]
    pub fn transaction_outcome(&self, result: &WriteResult) -> RowOutcome {
        match result {
            WriteResult::Applied { .. } => RowOutcome::Applied,
            WriteResult::Conflict { row: Some(row) } => RowOutcome::Held(row.into()),
            WriteResult::Conflict { row: None } => RowOutcome::Vacant,
        }
    }

    /// Outcome by the stored row, read after a transaction without a reply. `None` if the change is
    /// still to be written.
    #[must_use]
    pub fn read_back_outcome(&self, row: Option<&TableRow>) -> Option<RowOutcome> {
        match (&self.change, row) {
            (RowChange::Insert { .. }, None) => None,
            (RowChange::Replace { .. }, None) => Some(RowOutcome::Vacant),
            (RowChange::Delete { .. }, None) => Some(RowOutcome::Applied),
            (RowChange::Replace { old, .. } | RowChange::Delete { old }, Some(row))
                if row.write_id == old.as_str() =>
            {
                None
            }
            (_, Some(row)) => Some(RowOutcome::Held(row.into())),
        }
    }
}

fn is_written_by(id: &WriteId) -> WriteCondition {
    WriteCondition::WriteId(id.as_str().into())
}
