/// Parts of a daemon that experiments switch off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DaemonOptions {
    /// Retries need a permit of the root and of the ratio.
    pub has_retry_budget: bool,
    /// Routers leave targets alone that admit higher priorities only.
    pub has_threshold: bool,
    /// The edge sheds by thresholds from further down the chain.
    pub has_front_gate: bool,
    /// Guards queue and refuse; otherwise they send everything on.
    pub has_admission: bool,
}

impl Default for DaemonOptions {
    fn default() -> Self {
        Self {
            has_retry_budget: true,
            has_threshold: true,
            has_front_gate: true,
            has_admission: true,
        }
    }
}
