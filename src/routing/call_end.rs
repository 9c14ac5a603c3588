use {
    super::LoadFeedback,
    strum::{Display, IntoStaticStr},
};

/// How an attempt at a target ended, as the router saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum CallEnd {
    /// The target answered, or its daemon refused.
    Answered(Option<LoadFeedback>),
    /// No daemon listens there.
    Unreachable,
    /// The connection or the answer broke off.
    Broken,
    /// The caller went away or its time ran out; says nothing of the target.
    Abandoned,
}
