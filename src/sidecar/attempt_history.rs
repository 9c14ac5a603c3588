use std::time::Duration;

/// Maximum attempts of one call that did not reach a target.
const MAX_UNDELIVERED_ATTEMPTS: u32 = 4;
/// Maximum attempts of one call that reached a target; if every target refuses half of its calls,
/// one call in a hundred remains unserved.
const MAX_DELIVERED_ATTEMPTS: u32 = 7;
/// Maximum number of targets that crash under one call before its retries end.
const MAX_CRASHES: u32 = 2;
/// Remaining time below which no further attempt is made.
const MIN_TIME_LEFT: Duration = Duration::from_millis(15);

/// Outcome of one attempt of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The attempt did not reach the target.
    NotSent,
    /// The sidecar of the target did not send the call on, for the target's rate limit. This says
    /// nothing against the target and leaves the call all its attempts.
    RateLimited,
    /// The target refused the call and did not run it.
    Shed,
    /// The target may have run the call, but sent no usable response.
    Unknown,
    /// The target ran the call and responded with a server error that no child call caused.
    TargetError,
    /// The target crashed while it was running the call.
    TargetCrashed,
    /// The request crashes its targets and is refused.
    RequestRefused,
    /// The retry budget is exhausted.
    NoRetries,
}

/// What to do after an attempt without a usable response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    Retry,
    /// Respond that the call has not run.
    RespondNotRun,
    /// Respond that the outcome is unknown.
    RespondUnknown,
    /// Relay the target's response with the server error.
    RelayFailure,
    /// Respond that the request is refused because it crashes its targets.
    RespondRefused,
}

/// Counts of the attempts of one call so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptHistory {
    /// Attempts that did not reach a target.
    undelivered: u32,
    /// Attempts that reached a target.
    delivered: u32,
    /// Attempts that may have run.
    possible_runs: u32,
    /// Targets that crashed while they were running the call.
    crashes: u32,
    has_target_error: bool,
}

impl AttemptHistory {
    /// Number of attempts that reached a target, for the context of the next one.
    #[must_use]
    pub fn delivered(&self) -> u8 {
        u8::try_from(self.delivered).unwrap_or(u8::MAX)
    }

    /// Whether it is certain that no target has run the call.
    #[must_use]
    pub const fn has_not_run(&self) -> bool {
        self.possible_runs == 0
    }

    /// Records the outcome of an attempt and decides on the next step.
    pub fn next_step(
        &mut self,
        outcome: AttemptOutcome,
        is_idempotent: bool,
        max_attempts: u32,
        time_left: Duration,
    ) -> NextStep {
        match outcome {
            AttemptOutcome::NotSent | AttemptOutcome::NoRetries => self.undelivered += 1,
            AttemptOutcome::RateLimited => {}
            AttemptOutcome::RequestRefused => return NextStep::RespondRefused,
            AttemptOutcome::Shed => self.delivered += 1,
            AttemptOutcome::Unknown
            | AttemptOutcome::TargetError
            | AttemptOutcome::TargetCrashed => {
                self.delivered += 1;
                self.possible_runs += 1;
            }
        }
        self.crashes += u32::from(outcome == AttemptOutcome::TargetCrashed);
        self.has_target_error |= outcome == AttemptOutcome::TargetError;
        let may_run = self.possible_runs == 0 || is_idempotent && self.possible_runs < max_attempts;
        let is_within_limits = self.undelivered < MAX_UNDELIVERED_ATTEMPTS
            && self.delivered < MAX_DELIVERED_ATTEMPTS
            && self.crashes < MAX_CRASHES
            && time_left > MIN_TIME_LEFT;
        if may_run && is_within_limits {
            NextStep::Retry
        } else if self.has_target_error {
            NextStep::RelayFailure
        } else if self.has_not_run() {
            NextStep::RespondNotRun
        } else {
            NextStep::RespondUnknown
        }
    }
}
