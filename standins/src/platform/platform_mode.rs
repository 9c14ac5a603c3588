use serde::{Deserialize, Serialize};

/// Faults and caps in force; each absent field of a message takes its default.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlatformMode {
    pub down: DownMode,
    /// Wait before each request is served, in ms.
    pub delay_ms: u64,
    /// Share of requests that take effect and are cut before the answer, in %.
    pub lose_percent: u32,
    /// Seed of the choice of what is lost.
    pub seed: u64,
    /// Requests are never answered.
    pub hang: HangPoint,
    pub transactions_per_s: u32,
    pub reads_per_s: u32,
}

impl Default for PlatformMode {
    fn default() -> Self {
        Self {
            down: DownMode::Up,
            delay_ms: 0,
            lose_percent: 0,
            seed: 0,
            hang: HangPoint::Never,
            transactions_per_s: 300,
            reads_per_s: 2_000,
        }
    }
}

impl PlatformMode {
    /// No faults and no caps.
    #[must_use]
    pub fn uncapped() -> Self {
        Self {
            transactions_per_s: u32::MAX,
            reads_per_s: u32::MAX,
            ..Self::default()
        }
    }
}

/// What happens to requests during an outage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DownMode {
    #[default]
    Up,
    /// Answered by status 503, without effect.
    Refuse,
    /// The connection is closed, without effect.
    Close,
}

/// Where a fault sets in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HangPoint {
    #[default]
    Never,
    BeforeEffect,
    AfterEffect,
}
