use {super::PermitVerdict, crate::time::TimePoint};

/// Retries of one user request across its whole chain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryBudget {
    used: u32,
    limit: u32,
    deadline: TimePoint,
}

impl RetryBudget {
    /// A budget of `limit` retries that ends at `deadline`.
    #[must_use]
    pub const fn new(limit: u32, deadline: TimePoint) -> Self {
        Self {
            used: 0,
            limit,
            deadline,
        }
    }

    /// Takes one retry from the budget.
    pub fn take(&mut self, now: TimePoint) -> PermitVerdict {
        if self.is_over(now) {
            return PermitVerdict::UnknownRequest;
        }
        if self.used >= self.limit {
            return PermitVerdict::Exhausted;
        }
        self.used += 1;
        PermitVerdict::Granted
    }

    /// Retries that were granted.
    #[must_use]
    pub const fn used(&self) -> u32 {
        self.used
    }

    /// The deadline of the request has passed.
    #[must_use]
    pub fn is_over(&self, now: TimePoint) -> bool {
        now >= self.deadline
    }
}
