use {
    super::{OfferedCall, StatedOutcome},
    crate::{
        admission::{CompletionKind, TicketKey},
        context::CallPriority,
        time::TimePoint,
    },
    std::{collections::HashMap, time::Duration},
};

/// What became of one call in a replay.
#[derive(Clone, Copy, Debug)]
struct CallEntry {
    rank: u8,
    offered: TimePoint,
    state: EntryState,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EntryState {
    Waiting,
    Running {
        started: TimePoint,
    },
    Served {
        started: TimePoint,
        ended: TimePoint,
    },
    Lost,
    Refused,
}

/// All calls of a replay, by their number in the trace.
#[derive(Clone, Debug, Default)]
pub(super) struct CallHistory {
    entries: HashMap<u64, CallEntry>,
    keys: HashMap<u64, TicketKey>,
    calls: HashMap<TicketKey, u64>,
}

impl CallHistory {
    /// False if the number was used before.
    pub(super) fn offer(&mut self, now: TimePoint, offered: &OfferedCall) -> bool {
        let entry = CallEntry {
            rank: CallPriority::from_u32(offered.priority).rank(),
            offered: now,
            state: EntryState::Waiting,
        };
        self.entries.insert(offered.call, entry).is_none()
    }

    pub(super) fn bind(&mut self, call: u64, key: TicketKey) {
        self.keys.insert(call, key);
        self.calls.insert(key, call);
    }

    pub(super) fn key(&self, call: u64) -> Option<TicketKey> {
        self.keys.get(&call).copied()
    }

    pub(super) fn call(&self, key: TicketKey) -> Option<u64> {
        self.calls.get(&key).copied()
    }

    pub(super) fn is_running(&self, call: u64) -> bool {
        self.entries
            .get(&call)
            .is_some_and(|entry| matches!(entry.state, EntryState::Running { .. }))
    }

    /// Takes what the logic decided.
    pub(super) fn decide(&mut self, now: TimePoint, outcome: StatedOutcome) {
        match outcome {
            StatedOutcome::Start(call) => {
                self.set(call, EntryState::Running { started: now });
            }
            StatedOutcome::Queue(call) => self.set(call, EntryState::Waiting),
            StatedOutcome::Refuse { call, .. } => {
                self.set(call, EntryState::Refused);
                self.release(call);
            }
        }
    }

    pub(super) fn finish(&mut self, now: TimePoint, call: u64, kind: CompletionKind) {
        self.release(call);
        let Some(entry) = self.entries.get_mut(&call) else {
            return;
        };
        entry.state = match entry.state {
            EntryState::Running { started } if kind == CompletionKind::Success => {
                EntryState::Served {
                    started,
                    ended: now,
                }
            }
            EntryState::Refused => EntryState::Refused,
            _ => EntryState::Lost,
        };
    }

    /// Share of the calls of `rank`, offered since then and ended, that were served, in %; all of
    /// none.
    pub(super) fn served_percent(&self, rank: u8, since: TimePoint) -> f64 {
        let mut ended = 0_u32;
        let mut served = 0_u32;
        for entry in self.since(since).filter(|entry| entry.rank == rank) {
            match entry.state {
                EntryState::Waiting | EntryState::Running { .. } => {}
                EntryState::Served { .. } => {
                    ended += 1;
                    served += 1;
                }
                EntryState::Lost | EntryState::Refused => ended += 1,
            }
        }
        if ended == 0 {
            return 100.0;
        }
        100.0 * f64::from(served) / f64::from(ended)
    }

    pub(super) fn refused(&self, since: TimePoint) -> u32 {
        let count = self
            .since(since)
            .filter(|entry| entry.state == EntryState::Refused)
            .count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Time that served calls ran between then and now.
    pub(super) fn busy(&self, since: TimePoint, now: TimePoint) -> Duration {
        self.entries
            .values()
            .map(|entry| match entry.state {
                EntryState::Served { started, ended } => ended.since(started.max(since)),
                EntryState::Running { started } => now.since(started.max(since)),
                _ => Duration::ZERO,
            })
            .sum()
    }

    fn since(&self, since: TimePoint) -> impl Iterator<Item = &CallEntry> {
        self.entries
            .values()
            .filter(move |entry| entry.offered >= since)
    }

    fn set(&mut self, call: u64, state: EntryState) {
        if let Some(entry) = self.entries.get_mut(&call) {
            entry.state = state;
        }
    }

    fn release(&mut self, call: u64) {
        if let Some(key) = self.keys.remove(&call) {
            self.calls.remove(&key);
        }
    }
}
