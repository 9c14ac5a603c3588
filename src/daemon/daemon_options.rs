use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// A part of a daemon that experiments switch off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumIter, EnumString, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum DaemonPart {
    /// Retries need a permit of the root and of the ratio.
    RetryBudget,
    /// Guards and routers shed by priority.
    Threshold,
    /// The edge sheds by thresholds from further down the chain.
    #[strum(serialize = "front-gate")]
    EdgeThreshold,
    /// Guards drop what has stood in the queue for too long.
    Sojourn,
}

/// Which parts of a daemon run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DaemonOptions {
    disabled: Vec<DaemonPart>,
}

impl DaemonOptions {
    /// All parts run but those.
    #[must_use]
    pub fn without(disabled: &[DaemonPart]) -> Self {
        Self {
            disabled: disabled.to_vec(),
        }
    }

    #[must_use]
    pub fn is_enabled(&self, part: DaemonPart) -> bool {
        !self.disabled.contains(&part)
    }
}
