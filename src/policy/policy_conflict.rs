use {
    super::{FieldChange, PolicyDocument, VersionedPolicy},
    serde::{Deserialize, Serialize},
};

/// Another version was accepted since the submitted one was begun.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PolicyConflict {
    /// Version that the submitted document was made from.
    pub base_version: u64,
    /// Version that stands.
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
