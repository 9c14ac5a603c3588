use serde::{Deserialize, Serialize};

/// Load that a target reports about itself.
///
/// The report may be late or wrong, so it can only slow the growth of a limit for a short time; it
/// never raises a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadReport {
    /// Above 100 if work is queued inside the target.
    pub utilization_percent: u32,
}
