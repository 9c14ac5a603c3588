use crate::{context::CallPriority, time::TimePoint};

/// A call offered to a guard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionRequest {
    pub priority: CallPriority,
    /// Hops from the ingress; 0 for a call of a caller.
    pub depth: u8,
    pub deadline: TimePoint,
}
