use {
    super::{AdmissionRequest, CallOrder, TicketKey},
    crate::time::TimePoint,
};

/// A ticket in a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueuedTicket {
    pub key: TicketKey,
    pub order: CallOrder,
    pub queued_at: TimePoint,
    pub deadline: TimePoint,
}

impl QueuedTicket {
    #[must_use]
    pub fn new(now: TimePoint, key: TicketKey, request: &AdmissionRequest) -> Self {
        Self {
            key,
            order: CallOrder::of(request),
            queued_at: now,
            deadline: request.deadline,
        }
    }
}

/// Queue of the calls that wait for a slot.
pub trait AdmissionQueue: Default {
    fn push(&mut self, ticket: QueuedTicket);

    /// Removes the ticket that starts next.
    fn pop_first(&mut self) -> Option<QueuedTicket>;

    /// Removes the ticket that is dropped first.
    fn pop_last(&mut self) -> Option<QueuedTicket>;

    /// The ticket that starts next.
    fn first(&self) -> Option<QueuedTicket>;

    /// The ticket that is dropped first.
    fn last(&self) -> Option<QueuedTicket>;

    fn remove(&mut self, key: TicketKey) -> Option<QueuedTicket>;

    /// Whether a new call of `order` would start before `other`.
    fn precedes(&self, order: CallOrder, other: &QueuedTicket) -> bool;

    /// Number of calls that would start before a new call of `order`.
    fn count_preceding(&self, order: CallOrder) -> usize;

    fn iter(&self) -> impl Iterator<Item = &QueuedTicket>;

    fn len(&self) -> usize;

    fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
