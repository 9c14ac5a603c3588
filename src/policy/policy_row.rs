use {
    super::{PolicyDocument, VersionedPolicy},
    crate::{
        error::{ProcessStep, StepError},
        table::{TableRow, TableWrite, WriteCondition},
    },
    rand::{Rng, RngExt},
    serde::{Deserialize, Serialize},
};

/// Name of the table that holds the policy.
pub const POLICY_TABLE: &str = "policy";
/// Key of the only row in the policy table.
pub const POLICY_KEY: &str = "current";
/// Maximum size of a row value, and of the decompressed policy of a peer, in bytes.
pub const MAX_POLICY_ROW_BYTES: usize = 1024 * 1024;

/// Maximum number of earlier writes whose identities a row records.
const MAX_RECENT_WRITES: usize = 16;

/// The policy row as stored in the table service.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct PolicyRow {
    pub policy: VersionedPolicy,
    /// Identity of the write that committed the row.
    pub write_id: String,
    recent_writes: Vec<String>,
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct RowValue {
    version: u64,
    document: PolicyDocument,
    /// Identities of the preceding writes, the latest first.
    recent_writes: Vec<String>,
}

impl PolicyRow {
    /// Decodes a row of the policy table.
    pub(super) fn decode(row: TableRow) -> Result<Self, StepError> {
        let step = ProcessStep::LoadPolicy;
        if row.value.len() > MAX_POLICY_ROW_BYTES {
            let length = row.value.len();
            let message =
                format!("row of {length} bytes exceeds the limit of {MAX_POLICY_ROW_BYTES} bytes");
            return Err(StepError::new(step, "table policy", message));
        }
        let value: RowValue = serde_json::from_str(&row.value)
            .map_err(|error| StepError::new(step, "table policy", error))?;
        Ok(Self {
            policy: VersionedPolicy {
                version: value.version,
                document: value.document,
            },
            write_id: row.write_id,
            recent_writes: value.recent_writes,
        })
    }

    /// Returns the write that replaces `row`, or inserts a row if there is none, with `policy`.
    pub(super) fn replacement_write(
        row: Option<&Self>,
        policy: &VersionedPolicy,
        rng: &mut impl Rng,
    ) -> Result<TableWrite, StepError> {
        let condition = row.map_or(WriteCondition::Absent, |row| {
            WriteCondition::WriteId(row.write_id.clone())
        });
        let earlier_write_ids = row.into_iter().flat_map(|row| {
            let older_write_ids = row.recent_writes.iter().cloned();
            std::iter::once(row.write_id.clone()).chain(older_write_ids)
        });
        let value = RowValue {
            version: policy.version,
            document: policy.document.clone(),
            recent_writes: earlier_write_ids.take(MAX_RECENT_WRITES).collect(),
        };
        let value = serde_json::to_string(&value)
            .map_err(|error| StepError::new(ProcessStep::CommitPolicy, "table policy", error))?;
        Ok(TableWrite {
            table: POLICY_TABLE.into(),
            key: POLICY_KEY.into(),
            write_id: format!("policy-{:032x}", rng.random::<u128>()),
            value: Some(value),
            condition,
        })
    }

    /// Whether the row is the result of the write, or of a later write based on it.
    pub(super) fn includes_write(&self, write_id: &str) -> bool {
        self.write_id == write_id || self.recent_writes.iter().any(|write| write == write_id)
    }
}
