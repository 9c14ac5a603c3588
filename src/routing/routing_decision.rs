use {super::TargetKey, std::time::Duration};

/// Where a call goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoutingDecision {
    Target(TargetKey),
    /// Every target admits only higher priorities.
    Shed {
        retry_after: Duration,
    },
    /// No target of the service is known and able.
    NoTarget,
}
