use super::AdmissionRequest;

/// Order in which queued calls start; the greater value starts first.
///
/// Calls are ordered by class rank, then by depth in the call chain, since dropping a deeper call
/// wastes more work, then by the hash of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallOrder {
    rank: u8,
    depth: u8,
    priority: u32,
}

impl CallOrder {
    #[must_use]
    pub fn of(request: &AdmissionRequest) -> Self {
        Self {
            rank: request.priority.rank(),
            depth: request.depth,
            priority: request.priority.as_u32(),
        }
    }

    #[must_use]
    pub fn rank(self) -> u8 {
        self.rank
    }
}
