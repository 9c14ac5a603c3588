use {
    super::AdmissionRequest,
    crate::time::TimePoint,
    serde::{Deserialize, Serialize},
    slotmap::{SlotMap, new_key_type},
    strum::{Display, EnumString, IntoStaticStr},
};

new_key_type! {
    /// Key of a call that a guard has queued or started.
    pub struct TicketKey;
}

/// How a call ended.
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
pub enum CompletionKind {
    Success,
    /// The target failed or rejected the call.
    Failure,
    /// The caller disconnected or its deadline passed.
    Cancelled,
    /// The response was streamed. Its duration depends on the reader, so it is not used as a sample
    /// of the target's service time.
    Streamed,
}

/// State of a ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TicketState {
    Queued,
    Running { started_at: TimePoint },
}

/// A call that is queued or running.
#[derive(Clone, Copy, Debug)]
pub(super) struct CallTicket {
    pub(super) request: AdmissionRequest,
    pub(super) state: TicketState,
}

/// Calls of a guard that are queued or running.
pub(super) type TicketTable = SlotMap<TicketKey, CallTicket>;
