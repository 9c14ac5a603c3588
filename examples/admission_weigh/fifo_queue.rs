use {
    banyantrestle::admission::{AdmissionQueue, CallOrder, QueuedTicket, TicketKey},
    std::collections::VecDeque,
};

/// Queue that starts calls in order of arrival. A full queue refuses the newest call.
#[derive(Clone, Debug, Default)]
pub struct FifoQueue {
    tickets: VecDeque<QueuedTicket>,
}

impl AdmissionQueue for FifoQueue {
    fn push(&mut self, ticket: QueuedTicket) {
        self.tickets.push_back(ticket);
    }

    fn pop_first(&mut self) -> Option<QueuedTicket> {
        self.tickets.pop_front()
    }

    fn pop_last(&mut self) -> Option<QueuedTicket> {
        self.tickets.pop_back()
    }

    fn first(&self) -> Option<QueuedTicket> {
        self.tickets.front().copied()
    }

    fn last(&self) -> Option<QueuedTicket> {
        self.tickets.back().copied()
    }

    fn remove(&mut self, key: TicketKey) -> Option<QueuedTicket> {
        let position = self.tickets.iter().position(|ticket| ticket.key == key)?;
        self.tickets.remove(position)
    }

    fn precedes(&self, _: CallOrder, _: &QueuedTicket) -> bool {
        false
    }

    fn count_preceding(&self, _: CallOrder) -> usize {
        self.tickets.len()
    }

    fn iter(&self) -> impl Iterator<Item = &QueuedTicket> {
        self.tickets.iter()
    }

    fn len(&self) -> usize {
        self.tickets.len()
    }
}
