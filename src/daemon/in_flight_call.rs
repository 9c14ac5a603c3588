use {
    super::daemon_state::DaemonState,
    crate::{
        net::{StreamEnd, StreamHold},
        platform::TableStore,
        routing::{CallEnd, LoadNote, TargetKey},
    },
    std::sync::Arc,
};

/// Counts a call against its target until it has ended; abandoned on drop.
#[derive(Debug)]
pub(crate) struct InFlightCall<S: TableStore> {
    state: Arc<DaemonState<S>>,
    key: Option<TargetKey>,
    load: Option<LoadNote>,
}

impl<S: TableStore> InFlightCall<S> {
    pub(crate) fn start(state: Arc<DaemonState<S>>, key: TargetKey) -> Self {
        state.routing().start(key);
        Self {
            state,
            key: Some(key),
            load: None,
        }
    }

    /// Keeps the load that the head of the answer brought.
    pub(crate) fn with_load(mut self, load: Option<LoadNote>) -> Self {
        self.load = load;
        self
    }

    pub(crate) fn end(mut self, end: CallEnd) {
        self.note(end);
    }

    fn note(&mut self, end: CallEnd) {
        if let Some(key) = self.key.take() {
            let now = self.state.clock.now();
            self.state.routing().end(now, key, end);
        }
    }
}

impl<S: TableStore> StreamHold for InFlightCall<S> {
    fn end(mut self, end: StreamEnd) {
        let end = match end {
            StreamEnd::Whole => CallEnd::Answered(self.load),
            StreamEnd::Broken => CallEnd::Broken,
            StreamEnd::Abandoned => CallEnd::Abandoned,
        };
        self.note(end);
    }
}

impl<S: TableStore> Drop for InFlightCall<S> {
    fn drop(&mut self) {
        self.note(CallEnd::Abandoned);
    }
}
