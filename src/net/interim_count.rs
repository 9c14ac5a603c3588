use {
    std::sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    tokio::sync::Notify,
};

/// Interim responses (1xx) that a target may send to one call.
pub(super) const MAX_INTERIM_RESPONSES: u32 = 128;

/// Interim responses to one call; clones share the count.
#[derive(Clone, Debug, Default)]
pub(super) struct InterimCount(Arc<CountState>);

#[derive(Debug, Default)]
struct CountState {
    responses: AtomicU32,
    exceeded: Notify,
}

impl InterimCount {
    pub(super) fn record(&self) {
        if self.0.responses.fetch_add(1, Ordering::Relaxed) == MAX_INTERIM_RESPONSES {
            self.0.exceeded.notify_one();
        }
    }

    /// Waits until there are more than the maximum.
    pub(super) async fn exceeded(&self) {
        self.0.exceeded.notified().await;
    }
}
