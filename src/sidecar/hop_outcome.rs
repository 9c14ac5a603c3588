use {
    super::{AttemptOutcome, FailureCause, TargetLoad, TreeCost, slot_semaphore::ResponsePermit},
    crate::net::ResponseBody,
    http::Response,
    strum::{Display, EnumString, IntoStaticStr},
};

/// Header by which a sidecar says that an answer is not the target's.
pub(crate) const OUTCOME_HEADER: &str = "bt-outcome";

pub(crate) type RelayBody = ResponseBody<ResponsePermit>;

/// Why a call brought no answer of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum HopFailure {
    /// No target of the service is known.
    NoTarget,
    /// The sidecar can't be reached.
    Unreachable,
    /// The connection between the sidecars broke while the call was out.
    HopBroken,
    /// The target beside the sidecar is not there, of another service, or leaving.
    TargetClosed,
    QueueFull,
    TargetStalled,
    DeadlineTooNear,
    /// The service has had as many repeats as it may get.
    NoRepeats,
    /// The target can't be connected to.
    ConnectFailed,
    /// The target says that it did not run the call.
    Shed,
    /// The connection to the target broke while the call was out.
    TargetBroken,
    /// The answer is not whole, not the target's, or of another call.
    BadAnswer,
}

impl HopFailure {
    /// What an operator may read in a log.
    pub(crate) const fn explanation(self) -> &'static str {
        match self {
            Self::NoTarget => "no target of the service was known",
            Self::Unreachable => "the sidecar beside the target could not be reached; not run",
            Self::HopBroken => {
                "the connection to the sidecar beside the target broke; the call may have run"
            }
            Self::TargetClosed => "the target was leaving, gone or of another service; not run",
            Self::QueueFull => "as many calls waited for the target as can be served; not run",
            Self::TargetStalled => "the target ended no calls; not run",
            Self::DeadlineTooNear => "the call could not have ended in time any more; not run",
            Self::NoRepeats => "the service had had as many repeats as it may get; not run again",
            Self::ConnectFailed => "the target took no connection; not run",
            Self::Shed => "the target refused the call; not run",
            Self::TargetBroken => "the connection to the target broke; the call may have run",
            Self::BadAnswer => "the answer was cut short, not the target's, or of another call",
        }
    }

    /// What is known of the call after this failure.
    pub(crate) const fn attempt_end(self) -> AttemptOutcome {
        match self {
            Self::NoTarget
            | Self::Unreachable
            | Self::TargetClosed
            | Self::QueueFull
            | Self::TargetStalled
            | Self::DeadlineTooNear
            | Self::ConnectFailed => AttemptOutcome::NotSent,
            Self::NoRepeats => AttemptOutcome::NoRepeats,
            Self::Shed => AttemptOutcome::Shed,
            Self::HopBroken | Self::TargetBroken | Self::BadAnswer => AttemptOutcome::Unknown,
        }
    }
}

/// What an offer of a call to a target brought.
#[derive(Debug)]
pub(crate) struct HopOutcome {
    pub(crate) result: Result<Response<RelayBody>, HopFailure>,
    /// Cost of the call and of all calls below it.
    pub(crate) tree: TreeCost,
    pub(crate) load: Option<TargetLoad>,
    /// Why a call below this one failed, if one did.
    pub(crate) trouble: Option<FailureCause>,
}

impl HopOutcome {
    /// Whether the call made calls of its own that were answered.
    pub(crate) fn has_calls_below(&self) -> bool {
        self.tree.services().len() > 1
    }

    pub(crate) fn failed(failure: HopFailure) -> Self {
        Self {
            result: Err(failure),
            tree: TreeCost::default(),
            load: None,
            trouble: None,
        }
    }
}
