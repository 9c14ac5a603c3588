use {
    super::{FieldChange, PolicyDocument, VersionedPolicy},
    serde::{Deserialize, Serialize},
};

/// Another version was accepted after the base version of a submission.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PolicyConflict {
    /// Version that the submitted document is based on.
    pub base_version: u64,
    /// Latest accepted version.
    pub current: VersionedPolicy,
    pub changes: Vec<FieldChange>,
}

impl PolicyConflict {
    #[must_use]
    pub fn new(
        base_version: u64,
        base: Option<&PolicyDocument>,
        current: VersionedPolicy,
        submitted: &PolicyDocument,
    ) -> Self {
        Self {
            base_version,
            changes: FieldChange::compare(base, &current.document, submitted),
            current,
        }
    }
}
