use {
    super::PolicyHash,
    serde::{Deserialize, Serialize},
};

/// Version and hash of a policy that the table service has committed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedPolicy {
    pub version: u64,
    pub hash: PolicyHash,
}
