use serde::{Deserialize, Serialize};

/// What a target says of its own load.
///
/// A hint that may lag or mislead: it can make a limit more careful for a while, and never raises
/// one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadReport {
    /// Above 100 if work waits inside the target.
    pub utilization_percent: u32,
}
