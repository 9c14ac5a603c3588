//! Bounded log of the events of one process.

use {
    super::{EventKind, EventPage, EventRecord, HybridClock, HybridStamp, MAX_PAGE_EVENTS},
    crate::{membership::MemberId, time::ProcessClock},
    std::{
        collections::VecDeque,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
    },
};

/// Log of the events of one process; clones share its contents.
#[derive(Clone, Debug)]
pub struct EventLog {
    process: MemberId,
    clock: ProcessClock,
    ring: Arc<Mutex<EventRing>>,
}

#[derive(Debug)]
struct EventRing {
    clock: HybridClock,
    next_seq: u64,
    capacity: usize,
    records: VecDeque<EventRecord>,
}

impl EventLog {
    /// Creates a log that keeps the latest `capacity` events, at least one.
    #[must_use]
    pub fn new(process: MemberId, clock: ProcessClock, capacity: usize) -> Self {
        let ring = EventRing {
            clock: HybridClock::default(),
            next_seq: 1,
            capacity: capacity.max(1),
            records: VecDeque::new(),
        };
        Self {
            process,
            clock,
            ring: Arc::new(Mutex::new(ring)),
        }
    }

    #[must_use]
    pub const fn process(&self) -> MemberId {
        self.process
    }

    /// Records an event; a full log drops its oldest event.
    pub fn record(&self, kind: EventKind) {
        let wall_ms = self.clock.wall_ms();
        self.lock_ring().push(kind, wall_ms);
    }

    /// Returns a stamp to send with a message.
    #[must_use]
    pub fn stamp(&self) -> HybridStamp {
        let wall_ms = self.clock.wall_ms();
        self.lock_ring().clock.tick(wall_ms)
    }

    /// Advances the clock past the stamp of a received message, so that later events sort after it.
    pub fn observe(&self, remote: HybridStamp) {
        let wall_ms = self.clock.wall_ms();
        self.lock_ring().clock.observe(remote, wall_ms);
    }

    /// Events after position `seq`, oldest first, at most `limit` and [`MAX_PAGE_EVENTS`].
    #[must_use]
    pub fn since(&self, seq: u64, limit: usize) -> EventPage {
        let limit = limit.min(MAX_PAGE_EVENTS);
        let ring = self.lock_ring();
        let oldest = ring.oldest_seq();
        let skipped = seq.saturating_add(1).saturating_sub(oldest);
        let skipped = usize::try_from(skipped).unwrap_or(usize::MAX);
        let events: Vec<_> = ring
            .records
            .iter()
            .skip(skipped)
            .take(limit)
            .cloned()
            .collect();
        EventPage {
            process: self.process,
            dropped: oldest.saturating_sub(seq.saturating_add(1)),
            next: events.last().map_or(seq, |record| record.seq),
            events,
        }
    }

    fn lock_ring(&self) -> MutexGuard<'_, EventRing> {
        self.ring.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl EventRing {
    fn push(&mut self, kind: EventKind, wall_ms: u64) {
        let stamp = self.clock.tick(wall_ms);
        if self.records.len() == self.capacity {
            self.records.pop_front();
        }
        self.records.push_back(EventRecord {
            seq: self.next_seq,
            stamp,
            kind,
        });
        self.next_seq += 1;
    }

    fn oldest_seq(&self) -> u64 {
        self.records
            .front()
            .map_or(self.next_seq, |record| record.seq)
    }
}
