use {
    super::{AttemptOutcome, FailureCause, TargetLoad, TreeCost, slot_semaphore::ResponsePermit},
    crate::net::ResponseBody,
    http::Response,
    strum::{Display, EnumString, IntoStaticStr},
};

/// Response header that marks a sidecar's own response and names the failure.
pub(crate) const ATTEMPT_FAILURE_HEADER: &str = "bt-outcome";

pub(crate) type RelayBody = ResponseBody<ResponsePermit>;

/// Why an attempt brought no response from a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum AttemptFailure {
    /// No target of the service is known.
    NoTarget,
    /// The sidecar can't be reached.
    #[strum(serialize = "unreachable")]
    PeerUnreachable,
    /// The connection between the sidecars broke after the call was sent.
    #[strum(serialize = "hop-broken")]
    PeerConnectionBroken,
    /// The sidecar has no target, one of another service, or one that is draining.
    TargetClosed,
    QueueFull,
    TargetStalled,
    DeadlineTooNear,
    /// The retry budget of the service is exhausted.
    #[strum(serialize = "no-repeats")]
    NoRetries,
    /// The connection to the target can't be opened.
    #[strum(serialize = "connect-failed")]
    TargetConnectFailed,
    /// The target states that it did not run the call.
    Shed,
    /// The connection to the target broke after the call was sent.
    #[strum(serialize = "target-broken")]
    TargetConnectionBroken,
    /// The response is incomplete, not the target's, or belongs to another call.
    #[strum(serialize = "bad-answer")]
    BadResponse,
}

impl AttemptFailure {
    /// Explanation for operators, as printed by the log commands.
    pub(crate) const fn explanation(self) -> &'static str {
        match self {
            Self::NoTarget => "no target of the service was known",
            Self::PeerUnreachable => "the sidecar of the target could not be reached; not run",
            Self::PeerConnectionBroken => {
                "the connection to the sidecar of the target broke; the call may have run"
            }
            Self::TargetClosed => "the target was draining, gone or of another service; not run",
            Self::QueueFull => "the queue of the target was full; not run",
            Self::TargetStalled => "the target was stalled; not run",
            Self::DeadlineTooNear => "the call could not have met its deadline; not run",
            Self::NoRetries => "the retry budget of the service was exhausted; not run again",
            Self::TargetConnectFailed => {
                "the connection to the target could not be opened; not run"
            }
            Self::Shed => "the target refused the call; not run",
            Self::TargetConnectionBroken => {
                "the connection to the target broke; the call may have run"
            }
            Self::BadResponse => "the response was cut short, not the target's, or of another call",
        }
    }

    /// Outcome of the attempt for the retry decision.
    pub(crate) const fn attempt_outcome(self) -> AttemptOutcome {
        match self {
            Self::NoTarget
            | Self::PeerUnreachable
            | Self::TargetClosed
            | Self::QueueFull
            | Self::TargetStalled
            | Self::DeadlineTooNear
            | Self::TargetConnectFailed => AttemptOutcome::NotSent,
            Self::NoRetries => AttemptOutcome::NoRetries,
            Self::Shed => AttemptOutcome::Shed,
            Self::PeerConnectionBroken | Self::TargetConnectionBroken | Self::BadResponse => {
                AttemptOutcome::Unknown
            }
        }
    }
}

/// Result of one attempt of a call.
#[derive(Debug)]
pub(crate) struct AttemptReport {
    pub(crate) result: Result<Response<RelayBody>, AttemptFailure>,
    /// Cost of the call and of its child calls.
    pub(crate) tree_cost: TreeCost,
    pub(crate) load: Option<TargetLoad>,
    /// Why a child call failed, if one did.
    pub(crate) cause: Option<FailureCause>,
}

impl AttemptReport {
    /// Whether the call made child calls that were answered.
    pub(crate) fn has_child_calls(&self) -> bool {
        self.tree_cost.services().len() > 1
    }

    pub(crate) fn failed(failure: AttemptFailure) -> Self {
        Self {
            result: Err(failure),
            tree_cost: TreeCost::default(),
            load: None,
            cause: None,
        }
    }
}
