use {
    super::{AdmissionQueue, CallOrder, QueuedTicket, TicketKey},
    std::cmp::Reverse,
};

/// Queue in descending [`CallOrder`]; calls of equal order start in the order of arrival.
///
/// The tickets are in a sorted vector whose last element starts next. Insertion at any position is
/// cheap because the queue is short.
#[derive(Clone, Debug, Default)]
pub struct PriorityQueue {
    tickets: Vec<QueuedTicket>,
}

impl PriorityQueue {
    /// Number of tickets that a new call of `order` precedes.
    fn position(&self, order: CallOrder) -> usize {
        self.tickets.partition_point(|ticket| ticket.order < order)
    }
}

impl AdmissionQueue for PriorityQueue {
    fn push(&mut self, ticket: QueuedTicket) {
        let position = self.position(ticket.order);
        self.tickets.insert(position, ticket);
    }

    fn pop_first(&mut self) -> Option<QueuedTicket> {
        self.tickets.pop()
    }

    fn pop_last(&mut self) -> Option<QueuedTicket> {
        if self.tickets.is_empty() {
            return None;
        }
        Some(self.tickets.remove(0))
    }

    fn first(&self) -> Option<QueuedTicket> {
        self.tickets.last().copied()
    }

    fn last(&self) -> Option<QueuedTicket> {
        self.tickets.first().copied()
    }

    fn remove(&mut self, key: TicketKey) -> Option<QueuedTicket> {
        let position = self.tickets.iter().position(|ticket| ticket.key == key)?;
        Some(self.tickets.remove(position))
    }

    fn precedes(&self, order: CallOrder, other: &QueuedTicket) -> bool {
        Reverse(order) < Reverse(other.order)
    }

    fn count_preceding(&self, order: CallOrder) -> usize {
        self.tickets.len() - self.position(order)
    }

    fn iter(&self) -> impl Iterator<Item = &QueuedTicket> {
        self.tickets.iter()
    }

    fn len(&self) -> usize {
        self.tickets.len()
    }
}
