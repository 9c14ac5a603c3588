use {
    super::AdmissionRequest,
    crate::time::TimePoint,
    serde::{Deserialize, Serialize},
    slotmap::{SlotMap, new_key_type},
    strum::{Display, EnumString, IntoStaticStr},
};

new_key_type! {
    /// A call that a guard has queued or started.
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
    /// The target failed or refused the call.
    Failure,
    /// The caller went away or its deadline passed.
    Cancelled,
    /// The reader of a long answer set the pace, so it says nothing of the target's.
    Streamed,
}

/// Where a ticket stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TicketState {
    Queued,
    Running { started: TimePoint },
}

/// One call of a guard.
#[derive(Clone, Copy, Debug)]
pub(super) struct CallTicket {
    pub(super) request: AdmissionRequest,
    pub(super) state: TicketState,
}

/// Calls of a guard that are queued or running.
pub(super) type TicketTable = SlotMap<TicketKey, CallTicket>;
