use {
    super::TicketKey,
    serde::{Deserialize, Serialize},
    std::time::Duration,
    strum::{Display, EnumIter, EnumString, IntoStaticStr},
};

/// Why a guard refused a call.
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
    EnumIter,
    EnumString,
    IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum RefusalReason {
    /// The priority lies below the admission threshold.
    BelowThreshold,
    /// The queue is full of calls that precede this one.
    QueueFull,
    /// The call could not finish before its deadline.
    DeadlineTooNear,
    /// The call was the last one in a queue whose delay persisted above its target, or the call
    /// itself waited too long.
    Sojourn,
    /// The target is draining and accepts no new calls.
    Draining,
    /// The priority lies below the cached threshold of a downstream service.
    #[strum(serialize = "front-gate")]
    #[serde(rename = "front-gate")]
    DownstreamThreshold,
}

/// Refusal of a call that was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionRefusal {
    pub reason: RefusalReason,
    /// Delay before a retry; never zero.
    pub retry_after: Duration,
}

/// Decision of a guard on an offered call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// Send the call to the target now.
    Start(TicketKey),
    /// Wait for a [`GuardEffect`](super::GuardEffect) with this key.
    Queued(TicketKey),
    Refused(AdmissionRefusal),
}
