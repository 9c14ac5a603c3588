use {super::PermitDecision, crate::time::TimePoint};

/// Retry budget of one user request, shared by all calls of its chain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryBudget {
    used: u32,
    limit: u32,
    deadline: TimePoint,
}

impl RetryBudget {
    /// Creates a budget of `limit` retries that expires at `deadline`.
    #[must_use]
    pub const fn new(limit: u32, deadline: TimePoint) -> Self {
        Self {
            used: 0,
            limit,
            deadline,
        }
    }

    /// Acquires one retry from the budget.
    pub fn try_acquire(&mut self, now: TimePoint) -> PermitDecision {
        if self.is_expired(now) {
            return PermitDecision::UnknownRequest;
        }
        if self.used >= self.limit {
            return PermitDecision::Exhausted;
        }
        self.used += 1;
        PermitDecision::Granted
    }

    /// Number of granted retries.
    #[must_use]
    pub const fn used(&self) -> u32 {
        self.used
    }

    /// Whether the deadline of the request has passed.
    #[must_use]
    pub fn is_expired(&self, now: TimePoint) -> bool {
        now >= self.deadline
    }
}
