use {super::TargetKey, std::time::Duration};

/// Result of a target selection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoutingDecision {
    Target(TargetKey),
    /// Refuse the call: every available target admits only higher priorities.
    Shed {
        retry_after: Duration,
    },
    /// The service has no untried target.
    NoTarget,
}
