//! Kinds of events and their names in JSON.

use {
    super::EventReason,
    crate::{
        context::{CallId, CallPriority, ClassName, RequestId, RunOutcome, ServiceName},
        membership::MemberId,
        policy::PolicyHash,
    },
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
    strum::{Display, EnumDiscriminants, EnumIter, EnumString, IntoStaticStr, VariantNames},
    thiserror::Error,
};

/// The text is not the name of a kind of event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("not one of {}", EventName::VARIANTS.join(", "))]
pub struct EventNameError;

fn event_name_error(_text: &str) -> EventNameError {
    EventNameError
}

/// Kind and content of an event. `peer` is the mesh address of another daemon, `target` the address
/// of a target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, EnumDiscriminants)]
#[serde(tag = "kind", rename_all = "kebab-case")]
#[strum_discriminants(
    name(EventName),
    doc = "Name of a kind of event.",
    derive(
        Display,
        EnumIter,
        EnumString,
        IntoStaticStr,
        VariantNames,
        Hash,
        Serialize,
        Deserialize
    ),
    strum(
        serialize_all = "kebab-case",
        parse_err_ty = EventNameError,
        parse_err_fn = event_name_error
    ),
    serde(rename_all = "kebab-case")
)]
pub enum EventKind {
    /// The daemon received a new request from a caller.
    #[serde(rename = "request-minted")]
    #[strum_discriminants(strum(serialize = "request-minted"))]
    #[strum_discriminants(serde(rename = "request-minted"))]
    RequestStarted {
        request: RequestId,
        call: CallId,
        class: ClassName,
        priority: CallPriority,
        service: ServiceName,
    },
    /// The daemon sent the caller the final response.
    #[serde(rename = "request-answered")]
    #[strum_discriminants(strum(serialize = "request-answered"))]
    #[strum_discriminants(serde(rename = "request-answered"))]
    RequestCompleted {
        request: RequestId,
        call: CallId,
        status: u16,
        outcome: RunOutcome,
        elapsed_us: u64,
    },
    /// The daemon sent a call to `peer`; `parent` is the call whose target made it.
    CallStarted {
        request: RequestId,
        call: CallId,
        parent: Option<CallId>,
        service: ServiceName,
        peer: SocketAddr,
        attempt: u32,
    },
    CallAdmitted {
        request: RequestId,
        call: CallId,
        service: ServiceName,
    },
    /// The call waits in a queue behind `ahead` other calls.
    CallQueued {
        request: RequestId,
        call: CallId,
        service: ServiceName,
        ahead: u32,
    },
    CallRefused {
        request: RequestId,
        call: CallId,
        service: ServiceName,
        reason: EventReason,
        retry_after_ms: u64,
    },
    CallRetried {
        request: RequestId,
        call: CallId,
        service: ServiceName,
        attempt: u32,
        reason: EventReason,
    },
    /// The daemon that holds the retry budget of the request permitted a retry; `used` counts the
    /// retries of the request so far.
    PermitGranted {
        request: RequestId,
        call: CallId,
        used: u32,
    },
    PermitDenied {
        request: RequestId,
        call: CallId,
        reason: EventReason,
    },
    CallCancelled {
        request: RequestId,
        call: CallId,
        reason: EventReason,
    },
    CallCompleted {
        request: RequestId,
        call: CallId,
        service: ServiceName,
        target: SocketAddr,
        status: u16,
        outcome: RunOutcome,
        elapsed_us: u64,
    },
    /// This daemon alone may run the non-idempotent call.
    ClaimWon {
        request: RequestId,
        call: CallId,
        service: ServiceName,
    },
    /// The call is not run here: its idempotency key is already in use, or could not be claimed in
    /// time.
    ClaimLost {
        request: RequestId,
        call: CallId,
        service: ServiceName,
    },
    /// The call may have run earlier, so it is not run again.
    ClaimUnknown {
        request: RequestId,
        call: CallId,
        service: ServiceName,
        reason: EventReason,
    },
    /// The call was refused after its key was claimed, so the claim was released.
    ClaimReleased {
        request: RequestId,
        call: CallId,
        service: ServiceName,
    },
    TargetAnnounced {
        service: ServiceName,
        target: SocketAddr,
        slots: u32,
    },
    TargetWithdrawn {
        service: ServiceName,
        target: SocketAddr,
        reason: EventReason,
    },
    TargetDraining {
        service: ServiceName,
        target: SocketAddr,
    },
    /// The daemon stopped sending calls to a failing target.
    TargetEjected {
        service: ServiceName,
        peer: SocketAddr,
        reason: EventReason,
    },
    /// The daemon sends calls to the target again.
    TargetRestored {
        service: ServiceName,
        peer: SocketAddr,
    },
    MemberJoined {
        member: MemberId,
    },
    MemberSuspected {
        member: MemberId,
    },
    MemberLeft {
        member: MemberId,
    },
    MemberDied {
        member: MemberId,
    },
    /// The table service committed a version that an operator submitted here.
    PolicyAccepted {
        version: u64,
        hash: PolicyHash,
    },
    PolicyEnforced {
        version: u64,
        hash: PolicyHash,
    },
    PolicyRejected {
        version: u64,
        reason: EventReason,
    },
    ShutdownStep {
        step: EventReason,
    },
    /// The lowest priority that this daemon admits for a service has changed.
    ThresholdChanged {
        service: ServiceName,
        threshold: CallPriority,
    },
}

impl EventKind {
    #[must_use]
    pub fn name(&self) -> EventName {
        self.into()
    }

    /// The request that the event belongs to.
    #[must_use]
    pub const fn request(&self) -> Option<RequestId> {
        match self.request_call() {
            Some((request, _)) => Some(request),
            None => None,
        }
    }

    /// The call that the event belongs to.
    #[must_use]
    pub const fn call(&self) -> Option<CallId> {
        match self.request_call() {
            Some((_, call)) => Some(call),
            None => None,
        }
    }

    const fn request_call(&self) -> Option<(RequestId, CallId)> {
        match self {
            Self::RequestStarted { request, call, .. }
            | Self::RequestCompleted { request, call, .. }
            | Self::CallStarted { request, call, .. }
            | Self::CallAdmitted { request, call, .. }
            | Self::CallQueued { request, call, .. }
            | Self::CallRefused { request, call, .. }
            | Self::CallRetried { request, call, .. }
            | Self::PermitGranted { request, call, .. }
            | Self::PermitDenied { request, call, .. }
            | Self::CallCancelled { request, call, .. }
            | Self::CallCompleted { request, call, .. }
            | Self::ClaimWon { request, call, .. }
            | Self::ClaimLost { request, call, .. }
            | Self::ClaimUnknown { request, call, .. }
            | Self::ClaimReleased { request, call, .. } => Some((*request, *call)),
            _ => None,
        }
    }

    /// The call whose target made this call.
    #[must_use]
    pub const fn parent(&self) -> Option<CallId> {
        match self {
            Self::CallStarted { parent, .. } => *parent,
            _ => None,
        }
    }

    /// The target or daemon that the event concerns.
    #[must_use]
    pub const fn peer(&self) -> Option<SocketAddr> {
        match self {
            Self::CallStarted { peer, .. }
            | Self::TargetEjected { peer, .. }
            | Self::TargetRestored { peer, .. } => Some(*peer),
            Self::CallCompleted { target, .. }
            | Self::TargetAnnounced { target, .. }
            | Self::TargetWithdrawn { target, .. }
            | Self::TargetDraining { target, .. } => Some(*target),
            Self::MemberJoined { member }
            | Self::MemberSuspected { member }
            | Self::MemberLeft { member }
            | Self::MemberDied { member } => Some(member.address),
            _ => None,
        }
    }

    /// The service that the event concerns.
    #[must_use]
    pub const fn service(&self) -> Option<&ServiceName> {
        match self {
            Self::RequestStarted { service, .. }
            | Self::CallStarted { service, .. }
            | Self::CallAdmitted { service, .. }
            | Self::CallQueued { service, .. }
            | Self::CallRefused { service, .. }
            | Self::CallRetried { service, .. }
            | Self::CallCompleted { service, .. }
            | Self::ClaimWon { service, .. }
            | Self::ClaimLost { service, .. }
            | Self::ClaimUnknown { service, .. }
            | Self::ClaimReleased { service, .. }
            | Self::TargetAnnounced { service, .. }
            | Self::TargetWithdrawn { service, .. }
            | Self::TargetDraining { service, .. }
            | Self::TargetEjected { service, .. }
            | Self::TargetRestored { service, .. }
            | Self::ThresholdChanged { service, .. } => Some(service),
            _ => None,
        }
    }
}
