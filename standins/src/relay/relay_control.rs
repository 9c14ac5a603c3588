use {
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Directions in which a relay delivers nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BlockedDirection {
    #[default]
    None,
    ToTarget,
    ToCaller,
    Both,
}

/// Faults that a relay injects; they can be changed while it runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RelayControl {
    /// Delay added in each direction, in ms.
    pub delay_ms: u64,
    pub blocked: BlockedDirection,
    /// Share of datagrams that are dropped in each direction, in %.
    pub loss_percent: u8,
    /// TCP connections numbered below this stay open, but their bytes are read and dropped.
    pub silent_below: u64,
    /// TCP connections numbered below this are reset.
    pub reset_below: u64,
}

/// Direction of bytes through a relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayDirection {
    ToTarget,
    ToCaller,
}

impl RelayControl {
    #[must_use]
    pub fn delay(&self) -> Duration {
        Duration::from_millis(self.delay_ms)
    }

    pub(super) fn is_blocked(&self, direction: RelayDirection) -> bool {
        match self.blocked {
            BlockedDirection::None => false,
            BlockedDirection::Both => true,
            BlockedDirection::ToTarget => direction == RelayDirection::ToTarget,
            BlockedDirection::ToCaller => direction == RelayDirection::ToCaller,
        }
    }
}
