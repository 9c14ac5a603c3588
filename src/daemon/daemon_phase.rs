use strum::{Display, IntoStaticStr};

/// Where a daemon stands between start and exit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum DaemonPhase {
    Starting,
    Serving,
    /// Leaving is being spread; work that still arrives is served.
    Leaving,
    /// New work is refused; what is in flight goes on.
    Draining,
    Stopped,
}
