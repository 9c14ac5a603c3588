use {
    serde::{Deserialize, Serialize},
    strum::{Display, EnumString, IntoStaticStr},
};

/// Header of every response that states whether a target ran the call.
pub const OUTCOME_HEADER: &str = "banyantrestle-outcome";

/// Whether a target ran a call.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum RunOutcome {
    /// No target started the call.
    NotRun,
    /// A target may have started the call.
    Unknown,
    /// A target responded to the call.
    Run,
}
