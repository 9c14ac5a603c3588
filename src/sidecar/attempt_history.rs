use std::time::Duration;

/// Offers of one call that did not reach a target, at most.
const MAX_UNDELIVERED_ATTEMPTS: u32 = 4;
/// Arrivals of one call at targets, at most: where each refuses half of what it gets, one call in
/// a hundred is left over.
const MAX_DELIVERED_ATTEMPTS: u32 = 7;
/// Time without which another offer is not worth its while.
const MIN_TIME_LEFT: Duration = Duration::from_millis(15);

/// How one offer of a call to a target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// Refused before it reached the target.
    NotSent,
    /// The target refused it and did not run it.
    Shed,
    /// The target may have run it.
    Unknown,
    /// The target ran it and failed it by itself.
    TargetError,
    /// No room for repeats is left.
    NoRetries,
}

/// What to do after an offer that brought no usable answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    Retry,
    /// Answer that the call has not run.
    ReplyNotRun,
    /// Answer that the outcome is not known.
    ReplyUnknown,
    /// Pass the target's own failure on.
    RelayFailure,
}

/// The offers of one call so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptHistory {
    /// Offers that did not reach a target.
    undelivered: u32,
    /// Offers that reached a target.
    delivered: u32,
    /// Offers that may have run.
    possible_runs: u32,
    has_target_error: bool,
}

impl AttemptHistory {
    /// Offers that reached a target, for the context of the next one.
    #[must_use]
    pub fn delivered(&self) -> u8 {
        u8::try_from(self.delivered).unwrap_or(u8::MAX)
    }

    /// Whether the call has not run anywhere.
    #[must_use]
    pub const fn has_not_run(&self) -> bool {
        self.possible_runs == 0
    }

    /// Takes the end of an offer and decides on the next.
    pub fn next_step(
        &mut self,
        outcome: AttemptOutcome,
        is_idempotent: bool,
        max_attempts: u32,
        time_left: Duration,
    ) -> NextStep {
        match outcome {
            AttemptOutcome::NotSent | AttemptOutcome::NoRetries => self.undelivered += 1,
            AttemptOutcome::Shed => self.delivered += 1,
            AttemptOutcome::Unknown | AttemptOutcome::TargetError => {
                self.delivered += 1;
                self.possible_runs += 1;
            }
        }
        self.has_target_error |= outcome == AttemptOutcome::TargetError;
        let may_run = self.possible_runs == 0 || is_idempotent && self.possible_runs < max_attempts;
        let is_within_limits = self.undelivered < MAX_UNDELIVERED_ATTEMPTS
            && self.delivered < MAX_DELIVERED_ATTEMPTS
            && time_left > MIN_TIME_LEFT;
        if may_run && is_within_limits {
            NextStep::Retry
        } else if self.has_target_error {
            NextStep::RelayFailure
        } else if self.has_not_run() {
            NextStep::ReplyNotRun
        } else {
            NextStep::ReplyUnknown
        }
    }
}
