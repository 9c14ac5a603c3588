use {
    super::TimePoint,
    std::{
        sync::{Mutex, PoisonError},
        time::Duration,
    },
};

/// Time without a tick from which the process counts as paused.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(500);
/// Time after a pause in which messages may still be read that arrived during it.
const CATCH_UP_TIME: Duration = Duration::from_millis(300);

/// Finds out how long a message may have waited unread because the process was paused or starved.
///
/// A message may have been sent at any time since the process last ran, so what it says of times
/// counts from then.
#[derive(Debug)]
pub struct PauseDetector {
    state: Mutex<PauseState>,
}

#[derive(Clone, Copy, Debug)]
struct PauseState {
    last_tick: TimePoint,
    resumed_at: TimePoint,
    length: Duration,
}

impl PauseDetector {
    #[must_use]
    pub fn new(now: TimePoint) -> Self {
        Self {
            state: Mutex::new(PauseState {
                last_tick: now,
                resumed_at: TimePoint::ORIGIN,
                length: Duration::ZERO,
            }),
        }
    }

    /// Records that the process runs; to be called several times in the time after which it counts as
    /// paused.
    pub fn tick(&self, now: TimePoint) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let length = now.since(state.last_tick);
        state.last_tick = state.last_tick.max(now);
        if length >= PAUSE_THRESHOLD {
            state.resumed_at = now;
            state.length = length;
        }
    }

    /// Earliest time at which a message that is read now can have been sent, as far as pauses of
    /// this process count.
    #[must_use]
    pub fn earliest_arrival(&self, now: TimePoint) -> TimePoint {
        let state = *self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let since_tick = now.since(state.last_tick);
        if since_tick >= PAUSE_THRESHOLD {
            state.last_tick
        } else if !state.length.is_zero() && now.since(state.resumed_at) < CATCH_UP_TIME {
            now - state.length
        } else {
            now
        }
    }
}
