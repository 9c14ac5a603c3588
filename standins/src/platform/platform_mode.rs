use serde::{Deserialize, Serialize};

/// Faults and rate caps in force; a field that is absent from a message takes its default.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlatformMode {
    pub down: DownMode,
    /// Delay before each request is served, in ms.
    pub delay_ms: u64,
    /// Share of requests that take effect and whose connection is closed before the response, in %.
    pub lose_percent: u32,
    /// Seed of the selection of lost responses.
    pub seed: u64,
    /// Where requests hang without a response.
    pub hang: HangPoint,
    /// Rate cap on transactions and object writes.
    pub transactions_per_s: u32,
    /// Rate cap on all other requests.
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
    /// No faults and no rate caps.
    #[must_use]
    pub fn uncapped() -> Self {
        Self {
            transactions_per_s: u32::MAX,
            reads_per_s: u32::MAX,
            ..Self::default()
        }
    }
}

/// How requests fail during an outage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DownMode {
    #[default]
    Up,
    /// Responds with status 503, without effect.
    Refuse,
    /// Closes the connection, without effect.
    Close,
}

/// Point at which a request hangs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HangPoint {
    #[default]
    Never,
    BeforeEffect,
    AfterEffect,
}
