use super::{AdmissionRefusal, TicketKey};

/// Effect of a guard on a queued call, to be carried out by the owner of the guard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GuardEffect {
    /// Send the call to the target now.
    Start(TicketKey),
    /// Refuse the call; its ticket no longer exists.
    Drop(TicketKey, AdmissionRefusal),
}
