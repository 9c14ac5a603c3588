use {
    banyantrestle::admission::LoadReport,
    serde::{Deserialize, Serialize},
};

/// Load that the load path of a target reports.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LoadMode {
    /// The calls that run or wait, as a percentage of the slots.
    #[serde(rename = "honest")]
    Actual,
    /// The same report at all times.
    Constant(LoadReport),
}

/// Fault of every call at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetFault {
    None,
    /// Responses are delayed until the fault ends.
    #[serde(rename = "frozen")]
    Stall,
    /// Responses are closed in the middle of the body.
    #[serde(rename = "cutting")]
    CloseMidway,
    /// Every call is refused with status 503 before it starts.
    #[serde(rename = "shedding")]
    Shed,
}

/// Behaviour of a target that can be changed while it runs.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TargetControl {
    /// Multiplier of the service time.
    pub service_factor: f64,
    pub fault: TargetFault,
    pub load: LoadMode,
    /// The health path responds with status 503.
    pub is_unhealthy: bool,
}

impl Default for TargetControl {
    fn default() -> Self {
        Self {
            service_factor: 1.0,
            fault: TargetFault::None,
            load: LoadMode::Actual,
            is_unhealthy: false,
        }
    }
}
