use {
    banyantrestle::admission::LoadReport,
    serde::{Deserialize, Serialize},
};

/// What the load path of a target reports.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LoadMode {
    #[serde(rename = "honest")]
    Actual,
    /// Always the same.
    Constant(LoadReport),
}

/// What goes wrong with every call of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetFault {
    None,
    /// Answers are held back until this ends.
    #[serde(rename = "frozen")]
    Stall,
    /// Answers break off in the middle.
    #[serde(rename = "cutting")]
    CloseMidway,
    /// Every call is refused with 503 before it starts.
    #[serde(rename = "shedding")]
    Shed,
}

/// Behaviour of a target that can be changed while it runs.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TargetControl {
    /// Factor on the service time.
    pub service_factor: f64,
    pub fault: TargetFault,
    pub load: LoadMode,
    /// The health path reports trouble.
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
