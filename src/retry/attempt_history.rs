use crate::context::RunOutcome;

/// Whether a second run of a call would do harm.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    Idempotent,
    NonIdempotent,
}

/// Whether another target may do better where one has failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureScope {
    /// The target, its daemon or the connection.
    Target,
    /// The call itself, or what every target depends on.
    Call,
}

/// What is known of all attempts at one call together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptHistory {
    safety: RetrySafety,
    outcome: RunOutcome,
}

impl AttemptHistory {
    #[must_use]
    pub const fn new(safety: RetrySafety) -> Self {
        Self {
            safety,
            outcome: RunOutcome::NotRun,
        }
    }

    #[must_use]
    pub const fn safety(&self) -> RetrySafety {
        self.safety
    }

    /// Notes an attempt that gave no whole answer; true if another one is safe and of use.
    pub fn record_failure(&mut self, outcome: RunOutcome, scope: FailureScope) -> bool {
        if outcome != RunOutcome::NotRun {
            self.outcome = RunOutcome::Unknown;
        }
        let is_safe = self.safety == RetrySafety::Idempotent || self.outcome == RunOutcome::NotRun;
        is_safe && scope == FailureScope::Target
    }

    /// What the caller is told if no attempt gave a whole answer.
    #[must_use]
    pub const fn outcome(&self) -> RunOutcome {
        self.outcome
    }
}
