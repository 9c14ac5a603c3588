use {
    super::{PermitDecision, RetryBudget},
    crate::{context::RequestId, time::TimePoint},
    std::collections::HashMap,
};

/// Maximum number of registered budgets at one daemon.
pub const MAX_BUDGETS: usize = 65_536;

/// Retry budgets of the user requests that entered at this daemon.
#[derive(Debug, Default)]
pub struct BudgetTable {
    budgets: HashMap<RequestId, RetryBudget>,
}

impl BudgetTable {
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Registers the budget of a request. Returns false if the table is full; the request then gets no
    /// retries.
    pub fn register(&mut self, request: RequestId, budget: RetryBudget) -> bool {
        if self.budgets.len() >= MAX_BUDGETS {
            return false;
        }
        self.budgets.entry(request).or_insert(budget);
        true
    }

    /// Acquires one retry from the budget of a request.
    pub fn try_acquire(&mut self, now: TimePoint, request: RequestId) -> PermitDecision {
        self.budgets
            .get_mut(&request)
            .map_or(PermitDecision::UnknownRequest, |budget| {
                budget.try_acquire(now)
            })
    }

    /// Removes the budget of a request that has its final response. Returns the number of its granted
    /// retries.
    pub fn remove(&mut self, request: RequestId) -> u32 {
        self.budgets
            .remove(&request)
            .map_or(0, |budget| budget.used())
    }

    /// Number of registered budgets.
    #[must_use]
    pub fn len(&self) -> usize {
        self.budgets.len()
    }

    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.budgets.is_empty()
    }
}
