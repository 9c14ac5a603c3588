use {
    super::{daemon_state::DaemonState, registered_budget::RegisteredBudget},
    crate::{
        events::EventKind,
        net::{StreamObserver, StreamOutcome},
        routing::{EjectionChange, LoadFeedback, TargetEntry, TargetKey, TargetOutcome},
    },
    std::sync::Arc,
};

/// Counts a call as in flight at its target until it ends. A call that is dropped before its end
/// counts as abandoned.
#[derive(Debug)]
pub(crate) struct InFlightCall {
    state: Arc<DaemonState>,
    key: Option<TargetKey>,
    load: Option<LoadFeedback>,
    budget: Option<RegisteredBudget>,
}

impl InFlightCall {
    pub(crate) fn start(state: Arc<DaemonState>, key: TargetKey) -> Self {
        state.target_table().start_call(key);
        Self {
            state,
            key: Some(key),
            load: None,
            budget: None,
        }
    }

    /// Keeps the load from the response headers until the body has ended.
    pub(crate) fn with_load(mut self, load: Option<LoadFeedback>) -> Self {
        self.load = load;
        self
    }

    /// Keeps the retry budget of the request registered until the call ends.
    pub(crate) fn with_budget(mut self, budget: Option<RegisteredBudget>) -> Self {
        self.budget = budget;
        self
    }

    pub(crate) fn finish(mut self, outcome: TargetOutcome) {
        self.record_outcome(outcome);
    }

    fn record_outcome(&mut self, outcome: TargetOutcome) {
        if let Some(key) = self.key.take() {
            let now = self.state.clock.now();
            let mut table = self.state.target_table();
            let change = table.finish_call(now, key, outcome);
            let entry = table.get(key);
            if let (Some(change), Some(entry)) = (change, entry) {
                let event = ejection_event(change, entry, outcome);
                drop(table);
                self.state.events.record(event);
            }
        }
    }
}

fn ejection_event(
    change: EjectionChange,
    entry: &TargetEntry,
    outcome: TargetOutcome,
) -> EventKind {
    let service = entry.service().clone();
    let peer = entry.mesh();
    match change {
        EjectionChange::Ejected => EventKind::TargetEjected {
            service,
            peer,
            reason: <&'static str>::from(outcome).into(),
        },
        EjectionChange::Restored => EventKind::TargetRestored { service, peer },
    }
}

impl StreamObserver for InFlightCall {
    fn on_end(mut self, outcome: StreamOutcome) {
        let outcome = match outcome {
            StreamOutcome::Complete => TargetOutcome::Responded(self.load),
            StreamOutcome::Broken => TargetOutcome::Broken,
            StreamOutcome::Abandoned => TargetOutcome::Abandoned,
        };
        self.record_outcome(outcome);
    }
}

impl Drop for InFlightCall {
    fn drop(&mut self) {
        self.record_outcome(TargetOutcome::Abandoned);
    }
}
