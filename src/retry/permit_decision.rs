use {
    serde::{Deserialize, Serialize},
    strum::{Display, IntoStaticStr},
};

/// Response of the root daemon to a daemon that requests a permit to retry a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum PermitDecision {
    Granted,
    /// The budget of the request is used up.
    Exhausted,
    /// The request has ended or did not enter at this daemon.
    UnknownRequest,
}
