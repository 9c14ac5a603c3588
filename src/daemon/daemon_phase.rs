use strum::{Display, IntoStaticStr};

/// Phase of a daemon between start and exit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum DaemonPhase {
    Starting,
    Serving,
    /// The daemon announces to the other members that it leaves. New calls are still served.
    Leaving,
    /// New calls are refused. Running calls continue.
    Draining,
    Stopped,
}
