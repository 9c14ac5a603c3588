use strum::{Display, IntoStaticStr};

/// How a request is handled with regard to crashes of targets that ran it.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Display, IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum SuspectStanding {
    #[default]
    Trusted,
    /// A target has crashed under it; it runs beside no isolated request.
    Suspect,
    /// Several targets have crashed under it. It runs on one target of the service at a time, and
    /// beside no other suspect.
    Isolated,
    /// It crashes the targets that run it.
    Refused,
}
