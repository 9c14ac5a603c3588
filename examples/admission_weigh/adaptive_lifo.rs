use {
    banyantrestle::admission::{AdmissionQueue, CallOrder, QueuedTicket, TicketKey},
    std::collections::VecDeque,
};

/// Queue length, in calls, from which the newest call starts first.
const LIFO_MIN_QUEUED: usize = 8;

/// Queue that starts calls in order of arrival while it is short, and in reverse order from
/// [`LIFO_MIN_QUEUED`] calls on. The oldest call is dropped first.
#[derive(Clone, Debug, Default)]
pub struct AdaptiveLifo {
    tickets: VecDeque<QueuedTicket>,
}

impl AdmissionQueue for AdaptiveLifo {
    fn push(&mut self, ticket: QueuedTicket) {
        self.tickets.push_back(ticket);
    }

    fn pop_first(&mut self) -> Option<QueuedTicket> {
        if self.tickets.len() >= LIFO_MIN_QUEUED {
            self.tickets.pop_back()
        } else {
            self.tickets.pop_front()
        }
    }

    fn pop_last(&mut self) -> Option<QueuedTicket> {
        self.tickets.pop_front()
    }

    fn first(&self) -> Option<QueuedTicket> {
        if self.tickets.len() >= LIFO_MIN_QUEUED {
            self.tickets.back().copied()
        } else {
            self.tickets.front().copied()
        }
    }

    fn last(&self) -> Option<QueuedTicket> {
        self.tickets.front().copied()
    }

    fn remove(&mut self, key: TicketKey) -> Option<QueuedTicket> {
        let position = self.tickets.iter().position(|ticket| ticket.key == key)?;
        self.tickets.remove(position)
    }

    fn precedes(&self, _: CallOrder, _: &QueuedTicket) -> bool {
        true
    }

    fn count_preceding(&self, _: CallOrder) -> usize {
        0
    }

    fn iter(&self) -> impl Iterator<Item = &QueuedTicket> {
        self.tickets.iter()
    }

    fn len(&self) -> usize {
        self.tickets.len()
    }
}
