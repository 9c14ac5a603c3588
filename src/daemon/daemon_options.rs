use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// A feature of the daemon that experiments can disable.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumIter, EnumString, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum DaemonFeature {
    /// Each retry needs a permit from the retry budget of the request, which the root daemon keeps,
    /// and from the retry ratio of the service.
    RetryBudget,
    /// Guards and routers refuse calls whose priority is below the admission threshold.
    Threshold,
    /// The ingress refuses calls below the admission thresholds that are reported from further down
    /// the call chain.
    #[strum(serialize = "front-gate")]
    ThresholdCache,
    /// Guards drop calls that have waited too long in the queue.
    Sojourn,
}

/// Which features of a daemon are enabled.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DaemonOptions {
    disabled: Vec<DaemonFeature>,
}

impl DaemonOptions {
    /// Enables all features except the given ones.
    #[must_use]
    pub fn without(disabled: &[DaemonFeature]) -> Self {
        Self {
            disabled: disabled.to_vec(),
        }
    }

    #[must_use]
    pub fn is_enabled(&self, feature: DaemonFeature) -> bool {
        !self.disabled.contains(&feature)
    }
}
