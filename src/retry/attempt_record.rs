use crate::context::RunOutcome;

/// Whether a second run of a call would do harm.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunSafety {
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
pub struct AttemptRecord {
    safety: RunSafety,
    outcome: RunOutcome,
}

impl AttemptRecord {
    #[must_use]
    pub const fn new(safety: RunSafety) -> Self {
        Self {
            safety,
            outcome: RunOutcome::NotRun,
        }
    }

    #[must_use]
    pub const fn safety(&self) -> RunSafety {
        self.safety
    }

    /// Notes an attempt that gave no whole answer; true if another one is safe and of use.
    pub fn note_failure(&mut self, outcome: RunOutcome, scope: FailureScope) -> bool {
        if outcome != RunOutcome::NotRun {
            self.outcome = RunOutcome::Unknown;
        }
        let is_safe = self.safety == RunSafety::Idempotent || self.outcome == RunOutcome::NotRun;
        is_safe && scope == FailureScope::Target
    }

    /// What the caller is told if no attempt gave a whole answer.
    #[must_use]
    pub const fn outcome(&self) -> RunOutcome {
        self.outcome
    }
}
