use super::{AdmissionRefusal, TicketKey};

/// What becomes of a call that was queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GuardEffect {
    /// Send the call to the target now.
    Start(TicketKey),
    /// Refuse the call; its ticket is gone.
    Drop(TicketKey, AdmissionRefusal),
}
