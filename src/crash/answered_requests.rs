use super::RequestDigest;

/// Number of requests that are remembered; a power of two.
const SLOTS: usize = 8_192;

/// Memory of the requests that the local target has answered, across its restarts.
///
/// Each digest has one slot, which a later request may take over.
#[derive(Clone, Debug)]
pub struct AnsweredRequests {
    slots: Box<[u64]>,
}

impl Default for AnsweredRequests {
    fn default() -> Self {
        Self {
            slots: vec![0; SLOTS].into(),
        }
    }
}

impl AnsweredRequests {
    pub fn record(&mut self, digest: RequestDigest) {
        self.slots[Self::slot_of(digest)] = digest.prefix();
    }

    #[must_use]
    pub fn contains(&self, digest: RequestDigest) -> bool {
        self.slots[Self::slot_of(digest)] == digest.prefix()
    }

    fn slot_of(digest: RequestDigest) -> usize {
        usize::try_from(digest.prefix() % SLOTS as u64).unwrap_or_default()
    }
}
