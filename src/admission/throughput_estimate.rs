use {
    crate::time::{TimePoint, decay_factor},
    rand::{Rng, RngExt},
    std::time::Duration,
};

/// Time over which the rates are averaged.
const RATE_TIME_CONSTANT: Duration = Duration::from_millis(500);
/// Time without pressure after which the rate is forgotten.
const RATE_EXPIRY: Duration = Duration::from_secs(1);
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// How fast a target works off its calls while all of its limit is in use.
#[derive(Clone, Debug)]
pub(super) struct ThroughputEstimate {
    last_tick: TimePoint,
    completed: u32,
    refused: u32,
    /// Calls that left under pressure of late.
    recent_completions: f64,
    /// Time under pressure in which they left, in s.
    saturated_seconds: f64,
    last_saturated: TimePoint,
    /// Calls refused of late, who may all come back.
    recent_refusals: f64,
}

impl ThroughputEstimate {
    pub(super) fn new(now: TimePoint) -> Self {
        Self {
            last_tick: now,
            completed: 0,
            refused: 0,
            recent_completions: 0.0,
            saturated_seconds: 0.0,
            last_saturated: now,
            recent_refusals: 0.0,
        }
    }

    pub(super) fn record_completion(&mut self) {
        self.completed = self.completed.saturating_add(1);
    }

    pub(super) fn record_refusal(&mut self) {
        self.refused = self.refused.saturating_add(1);
    }

    /// `is_saturated` tells whether the whole limit was in use since the last tick.
    pub(super) fn tick(&mut self, now: TimePoint, was_saturated: bool) {
        let elapsed = now.since(self.last_tick).as_secs_f64();
        if elapsed <= 0.0 {
            return;
        }
        let decay = decay_factor(elapsed, RATE_TIME_CONSTANT);
        self.recent_refusals = self.recent_refusals * decay + f64::from(self.refused);
        if was_saturated {
            self.recent_completions = self.recent_completions * decay + f64::from(self.completed);
            self.saturated_seconds = self.saturated_seconds * decay + elapsed;
            self.last_saturated = now;
        } else if now.since(self.last_saturated) > RATE_EXPIRY {
            self.recent_completions = 0.0;
            self.saturated_seconds = 0.0;
        }
        self.last_tick = now;
        self.completed = 0;
        self.refused = 0;
    }

    /// Time until `count` calls have left; zero if the rate is unknown.
    pub(super) fn completion_time(&self, count: u32) -> Duration {
        match self.rate() {
            Some(rate) => duration_from_seconds(f64::from(count) / rate),
            None => Duration::ZERO,
        }
    }

    /// When a refused call has a chance: once the queue and those refused before it are served.
    pub(super) fn retry_after<R: Rng + ?Sized>(&self, queued: u32, rng: &mut R) -> Duration {
        let backlog = f64::from(queued) + self.recent_refusals + f64::from(self.refused);
        let seconds = self.rate().map_or(0.0, |rate| backlog / rate);
        let base = duration_from_seconds(seconds).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        base.mul_f64(rng.random_range(1.0..2.0))
    }

    /// Calls a second; `None` before any has left under pressure.
    fn rate(&self) -> Option<f64> {
        let is_known = self.saturated_seconds > 0.0 && self.recent_completions > 0.0;
        is_known.then(|| self.recent_completions / self.saturated_seconds)
    }
}

fn duration_from_seconds(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
}
