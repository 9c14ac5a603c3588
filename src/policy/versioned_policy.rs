use {
    super::{PolicyDocument, PolicyHash},
    serde::{Deserialize, Serialize},
};

/// A policy document with the version under which it was accepted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VersionedPolicy {
    /// From 1 for accepted policies; 0 for the built-in policy.
    pub version: u64,
    pub document: PolicyDocument,
}

impl VersionedPolicy {
    /// Returns the built-in policy, which is in force until the first policy is accepted.
    #[must_use]
    pub fn built_in() -> Self {
        Self {
            version: 0,
            document: PolicyDocument::built_in(),
        }
    }

    #[must_use]
    pub fn hash(&self) -> PolicyHash {
        PolicyHash::of(&self.document)
    }
}
