use {
    super::{CallOutcome, OfferedCall},
    crate::{
        admission::{CompletionKind, TicketKey},
        context::CallPriority,
        time::TimePoint,
    },
    std::{collections::HashMap, time::Duration},
};

/// State of one call in a replay.
#[derive(Clone, Copy, Debug)]
struct CallRecord {
    rank: u8,
    offered_at: TimePoint,
    state: CallState,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallState {
    Queued,
    Running {
        started_at: TimePoint,
    },
    Served {
        started_at: TimePoint,
        ended_at: TimePoint,
    },
    /// Ended without success, or cancelled.
    Failed,
    Refused,
}

/// All calls of a replay, by their call number in the trace.
#[derive(Clone, Debug, Default)]
pub(super) struct CallHistory {
    records: HashMap<u64, CallRecord>,
    keys_by_call: HashMap<u64, TicketKey>,
    calls_by_key: HashMap<TicketKey, u64>,
}

impl CallHistory {
    /// Adds an offered call; returns false if its number is already in use.
    pub(super) fn record_offer(&mut self, now: TimePoint, offered: &OfferedCall) -> bool {
        let record = CallRecord {
            rank: CallPriority::from_u32(offered.priority).rank(),
            offered_at: now,
            state: CallState::Queued,
        };
        self.records.insert(offered.call, record).is_none()
    }

    pub(super) fn assign_key(&mut self, call: u64, key: TicketKey) {
        self.keys_by_call.insert(call, key);
        self.calls_by_key.insert(key, call);
    }

    pub(super) fn ticket_key(&self, call: u64) -> Option<TicketKey> {
        self.keys_by_call.get(&call).copied()
    }

    pub(super) fn call_number(&self, key: TicketKey) -> Option<u64> {
        self.calls_by_key.get(&key).copied()
    }

    pub(super) fn is_running(&self, call: u64) -> bool {
        self.records
            .get(&call)
            .is_some_and(|record| matches!(record.state, CallState::Running { .. }))
    }

    /// Updates the state of a call after a decision of the guard.
    pub(super) fn record_outcome(&mut self, now: TimePoint, outcome: CallOutcome) {
        match outcome {
            CallOutcome::Start(call) => {
                self.set_state(call, CallState::Running { started_at: now });
            }
            CallOutcome::Queue(call) => self.set_state(call, CallState::Queued),
            CallOutcome::Refuse { call, .. } => {
                self.set_state(call, CallState::Refused);
                self.remove_key(call);
            }
        }
    }

    pub(super) fn record_completion(&mut self, now: TimePoint, call: u64, kind: CompletionKind) {
        self.remove_key(call);
        let Some(record) = self.records.get_mut(&call) else {
            return;
        };
        record.state = match record.state {
            CallState::Running { started_at } if kind == CompletionKind::Success => {
                CallState::Served {
                    started_at,
                    ended_at: now,
                }
            }
            CallState::Refused => CallState::Refused,
            _ => CallState::Failed,
        };
    }

    /// Share of served calls among those of `rank` that were offered from `since` on and have
    /// ended, in %; 100 if there are none.
    pub(super) fn served_percent(&self, rank: u8, since: TimePoint) -> f64 {
        let mut ended_count = 0_u32;
        let mut served_count = 0_u32;
        for record in self
            .offered_since(since)
            .filter(|record| record.rank == rank)
        {
            match record.state {
                CallState::Queued | CallState::Running { .. } => {}
                CallState::Served { .. } => {
                    ended_count += 1;
                    served_count += 1;
                }
                CallState::Failed | CallState::Refused => ended_count += 1,
            }
        }
        if ended_count == 0 {
            return 100.0;
        }
        100.0 * f64::from(served_count) / f64::from(ended_count)
    }

    pub(super) fn refused_count(&self, since: TimePoint) -> u32 {
        let count = self
            .offered_since(since)
            .filter(|record| record.state == CallState::Refused)
            .count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Total running time of served and running calls from `since` to `now`.
    pub(super) fn busy_time(&self, since: TimePoint, now: TimePoint) -> Duration {
        self.records
            .values()
            .map(|record| match record.state {
                CallState::Served {
                    started_at,
                    ended_at,
                } => ended_at.since(started_at.max(since)),
                CallState::Running { started_at } => now.since(started_at.max(since)),
                _ => Duration::ZERO,
            })
            .sum()
    }

    fn offered_since(&self, since: TimePoint) -> impl Iterator<Item = &CallRecord> {
        self.records
            .values()
            .filter(move |record| record.offered_at >= since)
    }

    fn set_state(&mut self, call: u64, state: CallState) {
        if let Some(record) = self.records.get_mut(&call) {
            record.state = state;
        }
    }

    fn remove_key(&mut self, call: u64) {
        if let Some(key) = self.keys_by_call.remove(&call) {
            self.calls_by_key.remove(&key);
        }
    }
}
