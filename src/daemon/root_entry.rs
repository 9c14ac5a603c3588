use {
    super::daemon_state::DaemonState,
    crate::{context::RequestId, retry::RetryBudget},
    std::sync::Arc,
};

/// Keeps the retry budget of a request open; closes it on drop.
#[derive(Debug)]
pub(crate) struct RootEntry {
    state: Arc<DaemonState>,
    request: RequestId,
}

impl RootEntry {
    /// `None` if this root holds too many requests.
    pub(crate) fn open(
        state: &Arc<DaemonState>,
        request: RequestId,
        budget: RetryBudget,
    ) -> Option<Self> {
        if !state.roots().open(request, budget) {
            return None;
        }
        Some(Self {
            state: state.clone(),
            request,
        })
    }
}

impl Drop for RootEntry {
    fn drop(&mut self) {
        self.state.roots().close(self.request);
    }
}
