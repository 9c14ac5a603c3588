use std::time::Duration;

/// Offers of one call that did not reach a target, at most.
const MAX_UNSENT: u32 = 4;
/// Arrivals of one call at targets, at most: where each refuses half of what it gets, one call in
/// a hundred is left over.
const MAX_ARRIVALS: u32 = 7;
/// Time without which another offer is not worth its while.
const LEAST_TIME: Duration = Duration::from_millis(15);

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
    FailedRun,
    /// No room for repeats is left.
    NoRepeats,
}

/// What to do after an offer that brought no usable answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    Offer,
    /// Answer that the call has not run.
    RefuseUnrun,
    /// Answer that the outcome is not known.
    FailUnknown,
    /// Pass the target's own failure on.
    PassFailure,
}

/// The offers of one call so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptHistory {
    /// Offers that did not reach a target.
    unsent: u32,
    /// Offers that reached a target.
    arrivals: u32,
    /// Offers that may have run.
    runs: u32,
    has_failure: bool,
}

impl AttemptHistory {
    /// Offers that reached a target, for the context of the next one.
    #[must_use]
    pub fn arrivals(&self) -> u8 {
        u8::try_from(self.arrivals).unwrap_or(u8::MAX)
    }

    /// Whether the call has not run anywhere.
    #[must_use]
    pub const fn is_unrun(&self) -> bool {
        self.runs == 0
    }

    /// Takes the end of an offer and decides on the next.
    pub fn next_step(
        &mut self,
        end: AttemptOutcome,
        is_idempotent: bool,
        max_attempts: u32,
        time_left: Duration,
    ) -> NextStep {
        match end {
            AttemptOutcome::NotSent | AttemptOutcome::NoRepeats => self.unsent += 1,
            AttemptOutcome::Shed => self.arrivals += 1,
            AttemptOutcome::Unknown | AttemptOutcome::FailedRun => {
                self.arrivals += 1;
                self.runs += 1;
            }
        }
        self.has_failure |= end == AttemptOutcome::FailedRun;
        let may_run = self.runs == 0 || is_idempotent && self.runs < max_attempts;
        let is_worth =
            self.unsent < MAX_UNSENT && self.arrivals < MAX_ARRIVALS && time_left > LEAST_TIME;
        if may_run && is_worth {
            NextStep::Offer
        } else if self.has_failure {
            NextStep::PassFailure
        } else if self.is_unrun() {
            NextStep::RefuseUnrun
        } else {
            NextStep::FailUnknown
        }
    }
}
