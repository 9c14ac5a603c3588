use {
    crate::time::{TimePoint, decay_factor},
    rand::{Rng, RngExt},
    std::{ops::Range, time::Duration},
};

/// Time constant of the exponential averages.
const RATE_TIME_CONSTANT: Duration = Duration::from_millis(500);
/// Time without saturation after which the rate is discarded.
const RATE_EXPIRY: Duration = Duration::from_secs(1);
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);
/// Range of the random factor of a retry delay, so that retries do not arrive together.
const JITTER_FACTORS: Range<f64> = 1.0..2.0;

/// Rate at which a target completes calls while it is saturated: as many calls run as its limit
/// allows.
#[derive(Clone, Debug)]
pub(super) struct ThroughputEstimate {
    last_tick_at: TimePoint,
    /// Calls completed since the last tick.
    completed: u32,
    /// Calls refused since the last tick.
    refused: u32,
    /// Decaying count of calls completed under saturation.
    recent_completions: f64,
    /// Decaying time under saturation in which those calls completed.
    saturated_seconds: f64,
    last_saturated_at: TimePoint,
    /// Decaying count of refused calls, all of which may be retried.
    recent_refusals: f64,
}

impl ThroughputEstimate {
    pub(super) fn new(now: TimePoint) -> Self {
        Self {
            last_tick_at: now,
            completed: 0,
            refused: 0,
            recent_completions: 0.0,
            saturated_seconds: 0.0,
            last_saturated_at: now,
            recent_refusals: 0.0,
        }
    }

    pub(super) fn record_completion(&mut self) {
        self.completed = self.completed.saturating_add(1);
    }

    pub(super) fn record_refusal(&mut self) {
        self.refused = self.refused.saturating_add(1);
    }

    /// Updates the rate. `was_saturated` is whether the target was saturated at some time since the
    /// last tick.
    pub(super) fn tick(&mut self, now: TimePoint, was_saturated: bool) {
        let elapsed = now.since(self.last_tick_at).as_secs_f64();
        if elapsed <= 0.0 {
            return;
        }
        let decay = decay_factor(elapsed, RATE_TIME_CONSTANT);
        self.recent_refusals = self.recent_refusals * decay + f64::from(self.refused);
        if was_saturated {
            self.recent_completions = self.recent_completions * decay + f64::from(self.completed);
            self.saturated_seconds = self.saturated_seconds * decay + elapsed;
            self.last_saturated_at = now;
        } else if now.since(self.last_saturated_at) > RATE_EXPIRY {
            self.recent_completions = 0.0;
            self.saturated_seconds = 0.0;
        }
        self.last_tick_at = now;
        self.completed = 0;
        self.refused = 0;
    }

    /// Time in which `count` calls complete; zero if the rate is unknown.
    pub(super) fn completion_time(&self, count: u32) -> Duration {
        match self.rate() {
            Some(rate) => duration_from_seconds(f64::from(count) / rate),
            None => Duration::ZERO,
        }
    }

    /// Retry delay of a refused call: the time to serve the queued calls and the recently refused
    /// ones, within bounds and with random jitter.
    pub(super) fn retry_after<R: Rng + ?Sized>(&self, queued: u32, rng: &mut R) -> Duration {
        let backlog = f64::from(queued) + self.recent_refusals + f64::from(self.refused);
        let seconds = self.rate().map_or(0.0, |rate| backlog / rate);
        let base = duration_from_seconds(seconds).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        base.mul_f64(rng.random_range(JITTER_FACTORS))
    }

    /// Completed calls per second; `None` until a call has completed under saturation.
    fn rate(&self) -> Option<f64> {
        let is_known = self.saturated_seconds > 0.0 && self.recent_completions > 0.0;
        is_known.then(|| self.recent_completions / self.saturated_seconds)
    }
}

fn duration_from_seconds(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
}
