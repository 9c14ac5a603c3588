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
    /// The queue is full of calls that go before this one.
    QueueFull,
    /// The call could not finish before its deadline.
    DeadlineTooNear,
    /// The queue has stood for too long, and this call was the last in its order.
    Sojourn,
    /// The target takes no new work.
    Draining,
    /// A front gate knows of pressure further down the chain.
    #[strum(serialize = "front-gate")]
    #[serde(rename = "front-gate")]
    DownstreamThreshold,
}

/// A refusal; the call was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionRefusal {
    pub reason: RefusalReason,
    /// When a new try has a chance; never zero.
    pub retry_after: Duration,
}

/// What a guard decides of a call that is offered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// Send the call to the target now.
    Start(TicketKey),
    /// Wait for the effect that names the ticket.
    Queued(TicketKey),
    Refused(AdmissionRefusal),
}
