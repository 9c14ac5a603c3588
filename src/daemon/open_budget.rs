use {
    super::daemon_state::DaemonState,
    crate::{context::RequestId, retry::RetryBudget},
    std::sync::Arc,
};

/// Keeps the retry budget of a request in the budget table and removes it on drop.
#[derive(Debug)]
pub(crate) struct OpenBudget {
    state: Arc<DaemonState>,
    request: RequestId,
}

impl OpenBudget {
    /// Returns `None` if the budget table is full.
    pub(crate) fn open(
        state: &Arc<DaemonState>,
        request: RequestId,
        budget: RetryBudget,
    ) -> Option<Self> {
        if !state.budgets().open(request, budget) {
            return None;
        }
        Some(Self {
            state: state.clone(),
            request,
        })
    }
}

impl Drop for OpenBudget {
    fn drop(&mut self) {
        self.state.budgets().close(self.request);
    }
}
