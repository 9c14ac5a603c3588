use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

/// One execution of a call, with the request as its target received it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordedRun {
    pub service: String,
    pub instance: String,
    pub method: String,
    /// Path and query.
    pub path: String,
    pub host: String,
    pub caller: String,
    /// Values of the header with the account, each as the target received it.
    pub accounts: Vec<String>,
    /// Whether the target was shown a key.
    pub has_credential: bool,
    pub deadline_ms: u64,
    pub body: Vec<u8>,
}

/// Runs by all targets that share this recorder, by call id; clones share one record.
#[derive(Clone, Debug, Default)]
pub struct RunRecorder {
    runs: Arc<Mutex<HashMap<String, Vec<RecordedRun>>>>,
}

impl RunRecorder {
    pub(crate) fn record(&self, id: &str, run: RecordedRun) {
        self.runs().entry(id.into()).or_default().push(run);
    }

    /// Runs of one call, in the order in which they were recorded.
    #[must_use]
    pub fn runs_of(&self, id: &str) -> Vec<RecordedRun> {
        self.runs().get(id).cloned().unwrap_or_default()
    }

    /// Runs of all calls, with the call id of each group.
    #[must_use]
    pub fn all(&self) -> Vec<(String, Vec<RecordedRun>)> {
        let runs = self.runs();
        runs.iter()
            .map(|(id, runs)| (id.clone(), runs.clone()))
            .collect()
    }

    fn runs(&self) -> MutexGuard<'_, HashMap<String, Vec<RecordedRun>>> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
