use {
    super::daemon_state::DaemonState,
    crate::{context::RequestId, retry::RetryBudget},
    std::sync::Arc,
};

/// Keeps the retry budget of a request open; closes it on drop.
#[derive(Debug)]
pub(crate) struct OpenBudget {
    state: Arc<DaemonState>,
    request: RequestId,
}

impl OpenBudget {
    /// `None` if this root holds too many requests.
    pub(crate) fn open(
        state: &Arc<DaemonState>,
        request: RequestId,
        budget: RetryBudget,
    ) -> Option<Self> {
        if !state.retry_budgets().open(request, budget) {
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
        self.state.retry_budgets().close(self.request);
    }
}
