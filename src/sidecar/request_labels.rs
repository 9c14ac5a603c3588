use {
    crate::crash::RequestDigest,
    std::{
        collections::HashMap,
        sync::{Mutex, MutexGuard, PoisonError},
    },
};

/// Maximum number of requests whose path and caller are kept.
const MAX_LABELS: usize = 1_024;
const UNKNOWN: &str = "unknown";

/// What operators need to recognize a request.
#[derive(Clone, Debug)]
pub(crate) struct RequestLabel {
    pub(crate) path: String,
    pub(crate) caller: String,
}

/// Paths and callers of suspected requests, for the log.
#[derive(Debug, Default)]
pub(crate) struct RequestLabels(Mutex<HashMap<RequestDigest, RequestLabel>>);

impl RequestLabels {
    /// Keeps the label of a request; when the table is full, those of requests that `is_known`
    /// rejects are dropped first.
    pub(crate) fn note(
        &self,
        digest: RequestDigest,
        path: &str,
        caller: &str,
        is_known: impl Fn(&RequestDigest) -> bool,
    ) {
        let mut labels = self.labels();
        if labels.len() >= MAX_LABELS {
            labels.retain(|digest, _| is_known(digest));
        }
        if labels.len() < MAX_LABELS {
            labels.entry(digest).or_insert_with(|| RequestLabel {
                path: path.into(),
                caller: caller.into(),
            });
        }
    }

    /// Label of a request, with a placeholder if it is not known here.
    pub(crate) fn get(&self, digest: RequestDigest) -> RequestLabel {
        let label = self.labels().get(&digest).cloned();
        label.unwrap_or_else(|| RequestLabel {
            path: UNKNOWN.into(),
            caller: UNKNOWN.into(),
        })
    }

    fn labels(&self) -> MutexGuard<'_, HashMap<RequestDigest, RequestLabel>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
