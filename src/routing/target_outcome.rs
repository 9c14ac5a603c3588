use {
    super::LoadFeedback,
    strum::{Display, IntoStaticStr},
};

/// Outcome of an attempt at a target, as observed by the router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum TargetOutcome {
    /// The target responded, or its daemon refused the call.
    #[strum(serialize = "answered")]
    Responded(Option<LoadFeedback>),
    /// No connection to the daemon could be opened.
    Unreachable,
    /// The connection failed, or the response was incomplete.
    Broken,
    /// The caller disconnected or its deadline passed; does not count as a failure of the target.
    Abandoned,
}
