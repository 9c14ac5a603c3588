use {
    super::{daemon_state::DaemonState, root_entry::RootEntry},
    crate::{
        events::EventKind,
        net::{StreamEnd, StreamObserver},
        routing::{CallEnd, EjectionChange, LoadFeedback, TargetEntry, TargetKey},
    },
    std::sync::Arc,
};

/// Counts a call against its target until it has ended; abandoned on drop.
#[derive(Debug)]
pub(crate) struct InFlightCall {
    state: Arc<DaemonState>,
    key: Option<TargetKey>,
    load: Option<LoadFeedback>,
    root: Option<RootEntry>,
}

impl InFlightCall {
    pub(crate) fn start(state: Arc<DaemonState>, key: TargetKey) -> Self {
        state.routing().start(key);
        Self {
            state,
            key: Some(key),
            load: None,
            root: None,
        }
    }

    /// Keeps the load that the head of the answer brought.
    pub(crate) fn with_load(mut self, load: Option<LoadFeedback>) -> Self {
        self.load = load;
        self
    }

    /// Keeps the retry budget of the request open until the call has ended.
    pub(crate) fn with_root(mut self, root: Option<RootEntry>) -> Self {
        self.root = root;
        self
    }

    pub(crate) fn end(mut self, end: CallEnd) {
        self.note(end);
    }

    fn note(&mut self, end: CallEnd) {
        if let Some(key) = self.key.take() {
            let now = self.state.clock.now();
            let mut table = self.state.routing();
            let change = table.end(now, key, end);
            let entry = table.get(key);
            if let (Some(change), Some(entry)) = (change, entry) {
                let event = ejection_event(change, entry, end);
                drop(table);
                self.state.events.record(event);
            }
        }
    }
}

fn ejection_event(change: EjectionChange, entry: &TargetEntry, end: CallEnd) -> EventKind {
    let service = entry.service().clone();
    let peer = entry.mesh();
    match change {
        EjectionChange::Ejected => EventKind::TargetEjected {
            service,
            peer,
            reason: <&'static str>::from(end).into(),
        },
        EjectionChange::Restored => EventKind::TargetRestored { service, peer },
    }
}

impl StreamObserver for InFlightCall {
    fn on_end(mut self, end: StreamEnd) {
        let end = match end {
            StreamEnd::Whole => CallEnd::Answered(self.load),
            StreamEnd::Broken => CallEnd::Broken,
            StreamEnd::Abandoned => CallEnd::Abandoned,
        };
        self.note(end);
    }
}

impl Drop for InFlightCall {
    fn drop(&mut self) {
        self.note(CallEnd::Abandoned);
    }
}
