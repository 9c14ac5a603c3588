use {
    super::daemon_state::DaemonState,
    crate::{context::RequestId, retry::RetryBudget},
    std::sync::Arc,
};

/// Keeps the retry budget of a request in the budget table and removes it on drop.
#[derive(Debug)]
pub(crate) struct RegisteredBudget {
    state: Arc<DaemonState>,
    request: RequestId,
}

impl RegisteredBudget {
    /// Registers the budget. Returns `None` if the budget table is full.
    pub(crate) fn register(
        state: &Arc<DaemonState>,
        request: RequestId,
        budget: RetryBudget,
    ) -> Option<Self> {
        if !state.budgets().register(request, budget) {
            return None;
        }
        Some(Self {
            state: state.clone(),
            request,
        })
    }
}

impl Drop for RegisteredBudget {
    fn drop(&mut self) {
        self.state.budgets().remove(self.request);
    }
}
