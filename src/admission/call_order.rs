use super::AdmissionRequest;

/// Order in which queued calls start; the greater goes first.
///
/// The rank of the class leads. Within a class, a call deep in its chain goes before one that has
/// just started, since more work would be lost with it; then the hash of the request decides.
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
