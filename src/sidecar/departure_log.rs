use {
    std::time::Duration,
    tokio::{sync::watch, time::timeout},
};

/// Progress of the departures of local targets into the store, as revisions of
/// [`DepartedTargets`](super::departed_targets::DepartedTargets).
#[derive(Debug, Default)]
pub(crate) struct DepartureLog {
    recorded: watch::Sender<u64>,
    stored: watch::Sender<u64>,
}

impl DepartureLog {
    /// Announces that departures up to `revision` are to be stored.
    pub(crate) fn set_recorded(&self, revision: u64) {
        raise(&self.recorded, revision);
    }

    /// Records that the store holds the departures up to `revision`.
    pub(crate) fn set_stored(&self, revision: u64) {
        raise(&self.stored, revision);
    }

    pub(crate) fn recorded(&self) -> watch::Receiver<u64> {
        self.recorded.subscribe()
    }

    /// Waits until the store holds the departures up to `revision`; false if it doesn't within
    /// `time_limit`.
    pub(crate) async fn wait_until_stored(&self, revision: u64, time_limit: Duration) -> bool {
        let mut stored = self.stored.subscribe();
        let waiting = stored.wait_for(|stored| *stored >= revision);
        matches!(timeout(time_limit, waiting).await, Ok(Ok(_)))
    }
}

fn raise(revisions: &watch::Sender<u64>, revision: u64) {
    revisions.send_if_modified(|current| {
        let is_later = *current < revision;
        if is_later {
            *current = revision;
        }
        is_later
    });
}
