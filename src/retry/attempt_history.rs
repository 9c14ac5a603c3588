use crate::context::RunOutcome;

/// Whether a call may run twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    Idempotent,
    NonIdempotent,
}

/// Whether a failed call may succeed at another target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureScope {
    /// The target, its daemon or the connection failed.
    Target,
    /// The call itself failed, or something that all targets depend on.
    Call,
}

/// Combined result of all attempts at one call.
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

    /// Records an attempt without a complete response. Returns whether another attempt is safe and
    /// may succeed.
    pub fn record_failure(&mut self, outcome: RunOutcome, scope: FailureScope) -> bool {
        if outcome != RunOutcome::NotRun {
            self.outcome = RunOutcome::Unknown;
        }
        let is_safe = self.safety == RetrySafety::Idempotent || self.outcome == RunOutcome::NotRun;
        is_safe && scope == FailureScope::Target
    }

    /// Outcome reported to the caller if no attempt gave a complete response.
    #[must_use]
    pub const fn outcome(&self) -> RunOutcome {
        self.outcome
    }
}
