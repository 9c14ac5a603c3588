use {
    super::{AttemptOutcome, FailureCause, TargetLoad, TreeCost, streamed_run::ResponseRun},
    crate::net::ResponseBody,
    http::Response,
    std::net::SocketAddr,
    strum::{Display, EnumString, IntoStaticStr},
};

/// Response header by which a sidecar reports to another that no response of the target follows,
/// and why.
pub(crate) const ATTEMPT_FAILURE_HEADER: &str = "bt-outcome";

/// Response header with the mesh address of the sidecar beside the only target that may run the
/// call.
pub(crate) const ONLY_PEER_HEADER: &str = "bt-only";

/// Body of a response that the sidecar relays or creates itself.
pub(crate) type RelayBody = ResponseBody<ResponseRun>;

/// Why an attempt brought no response from a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum AttemptFailure {
    /// No target of the service is known or left to try, the chosen one is of another service, or
    /// the call is malformed or incomplete.
    NoTarget,
    /// The sidecar of the target can't be reached.
    #[strum(serialize = "unreachable")]
    PeerUnreachable,
    /// The connection between the sidecars broke after the call was sent.
    #[strum(serialize = "hop-broken")]
    PeerConnectionBroken,
    /// The sidecar has no target at present, or one that is draining.
    TargetClosed,
    QueueFull,
    TargetStalled,
    DeadlineTooNear,
    /// The key of the account may have been removed since it was checked.
    KeyUnproven,
    /// The rate limit that the target has named is exhausted.
    RateLimited,
    /// The retry budget of the service is exhausted.
    #[strum(serialize = "no-repeats")]
    NoRetries,
    /// The request crashes the targets that run it; it is not run again.
    RequestRefused,
    /// Targets have crashed under the request, and it runs on one other target only.
    SuspectElsewhere,
    /// Targets have crashed under the request, and it does not run beside the calls that are
    /// running.
    SuspectBusy,
    /// The connection to the target can't be opened.
    #[strum(serialize = "connect-failed")]
    TargetConnectFailed,
    /// The target states that it did not run the call.
    Shed,
    /// The connection to the target broke after the call was sent.
    #[strum(serialize = "target-broken")]
    TargetConnectionBroken,
    /// The target crashed while it was running the call.
    TargetCrashed,
    /// The deadline passed while the target was running the call.
    #[strum(serialize = "time-over")]
    DeadlinePassed,
    /// The response is incomplete or content-encoded, has no signature of the target, or
    /// belongs to another call.
    #[strum(serialize = "bad-answer")]
    BadResponse,
}

impl AttemptFailure {
    /// Explanation for operators, as printed by the log commands.
    pub(crate) const fn explanation(self) -> &'static str {
        match self {
            Self::NoTarget => {
                "no target of the service was known or left to try, or the call was malformed"
            }
            Self::PeerUnreachable => "the sidecar of the target could not be reached; not run",
            Self::PeerConnectionBroken => {
                "the connection to the sidecar of the target broke; the call may have run"
            }
            Self::TargetClosed => "the target was draining or gone; not run",
            Self::QueueFull => "the queue of the target was full; not run",
            Self::TargetStalled => "the target was stalled; not run",
            Self::DeadlineTooNear => "the call could not have met its deadline; not run",
            Self::KeyUnproven => {
                "the key of the account may have been removed since it was checked; not run"
            }
            Self::RateLimited => "the rate limit that the target has named was exhausted; not run",
            Self::NoRetries => "the retry budget of the service was exhausted; not run again",
            Self::RequestRefused => {
                "targets have crashed each time they ran the request; it is not run again"
            }
            Self::SuspectElsewhere => {
                "targets have crashed under the request, so it runs on one other target only; not run"
            }
            Self::SuspectBusy => {
                "targets have crashed under the request, and another such request was running; not run"
            }
            Self::TargetCrashed => "the target crashed while it was running the call",
            Self::TargetConnectFailed => {
                "the connection to the target could not be opened; not run"
            }
            Self::Shed => "the target refused the call; not run",
            Self::TargetConnectionBroken => {
                "the connection to the target broke; the call may have run"
            }
            Self::DeadlinePassed => "the deadline of the route or of the caller had passed",
            Self::BadResponse => {
                "the response was cut short, unsigned, encoded or of another call; may have run"
            }
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
            | Self::KeyUnproven
            | Self::SuspectElsewhere
            | Self::SuspectBusy
            | Self::TargetConnectFailed => AttemptOutcome::NotSent,
            Self::RateLimited => AttemptOutcome::RateLimited,
            Self::NoRetries => AttemptOutcome::NoRetries,
            Self::Shed => AttemptOutcome::Shed,
            Self::RequestRefused => AttemptOutcome::RequestRefused,
            Self::TargetCrashed => AttemptOutcome::TargetCrashed,
            Self::PeerConnectionBroken
            | Self::TargetConnectionBroken
            | Self::DeadlinePassed
            | Self::BadResponse => AttemptOutcome::Unknown,
        }
    }
}

/// Result of one attempt of a call.
#[derive(Debug)]
pub(crate) struct AttemptReport {
    pub(crate) result: Result<Response<RelayBody>, AttemptFailure>,
    /// Cost of the call and of its child calls.
    pub(crate) tree_cost: TreeCost,
    /// Load of the target; `None` if it is not known.
    pub(crate) load: Option<TargetLoad>,
    /// Cause of the failure, if a child call is the cause.
    pub(crate) cause: Option<FailureCause>,
    /// Sidecar beside the only target that may run the call.
    pub(crate) only_peer: Option<SocketAddr>,
}

impl AttemptReport {
    /// Whether the cost includes child calls, which are recognized by their service.
    pub(crate) fn has_child_calls(&self) -> bool {
        self.tree_cost.services().len() > 1
    }

    /// Whether the target has completed the call or not run it; otherwise it may be running it.
    pub(crate) fn is_target_done(&self) -> bool {
        match &self.result {
            Ok(response) => matches!(response.body(), ResponseBody::Buffered(_)),
            Err(failure) => failure.attempt_outcome() != AttemptOutcome::Unknown,
        }
    }

    pub(crate) fn failed(failure: AttemptFailure) -> Self {
        Self {
            result: Err(failure),
            tree_cost: TreeCost::default(),
            load: None,
            cause: None,
            only_peer: None,
        }
    }
}
