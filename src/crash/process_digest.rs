use serde::{Deserialize, Serialize};

/// Identity of one process of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ProcessDigest(pub u64);
