use {
    crate::time::{TimePoint, decay_factor},
    rand::{Rng, RngExt},
    std::time::Duration,
};

/// Time over which the rates are averaged.
const RATE_MEMORY: Duration = Duration::from_millis(500);
/// Time without pressure after which the rate is forgotten.
const RATE_EXPIRY: Duration = Duration::from_secs(1);
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// How fast a target works off its calls while all of its limit is in use.
#[derive(Clone, Debug)]
pub(super) struct ThroughputEstimate {
    ticked: TimePoint,
    drained: u32,
    refused: u32,
    /// Calls that left under pressure of late.
    drained_recently: f64,
    /// Time under pressure in which they left, in s.
    pressed_seconds: f64,
    pressed: TimePoint,
    /// Calls refused of late, who may all come back.
    refused_recently: f64,
}

impl ThroughputEstimate {
    pub(super) fn new(now: TimePoint) -> Self {
        Self {
            ticked: now,
            drained: 0,
            refused: 0,
            drained_recently: 0.0,
            pressed_seconds: 0.0,
            pressed: now,
            refused_recently: 0.0,
        }
    }

    pub(super) fn note_drained(&mut self) {
        self.drained = self.drained.saturating_add(1);
    }

    pub(super) fn note_refused(&mut self) {
        self.refused = self.refused.saturating_add(1);
    }

    /// `is_saturated` tells whether the whole limit was in use since the last tick.
    pub(super) fn tick(&mut self, now: TimePoint, is_saturated: bool) {
        let elapsed = now.since(self.ticked).as_secs_f64();
        if elapsed <= 0.0 {
            return;
        }
        let kept = decay_factor(elapsed, RATE_MEMORY);
        self.refused_recently = self.refused_recently * kept + f64::from(self.refused);
        if is_saturated {
            self.drained_recently = self.drained_recently * kept + f64::from(self.drained);
            self.pressed_seconds = self.pressed_seconds * kept + elapsed;
            self.pressed = now;
        } else if now.since(self.pressed) > RATE_EXPIRY {
            self.drained_recently = 0.0;
            self.pressed_seconds = 0.0;
        }
        self.ticked = now;
        self.drained = 0;
        self.refused = 0;
    }

    /// Time until `count` calls have left; zero if the rate is unknown.
    pub(super) fn wait_for(&self, count: u32) -> Duration {
        match self.rate() {
            Some(rate) => as_duration(f64::from(count) / rate),
            None => Duration::ZERO,
        }
    }

    /// When a refused call has a chance: once the queue and those refused before it are served.
    pub(super) fn retry_after<R: Rng + ?Sized>(&self, queued: u32, rng: &mut R) -> Duration {
        let backlog = f64::from(queued) + self.refused_recently + f64::from(self.refused);
        let seconds = self.rate().map_or(0.0, |rate| backlog / rate);
        let base = as_duration(seconds).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        base.mul_f64(rng.random_range(1.0..2.0))
    }

    /// Calls a second; `None` before any has left under pressure.
    fn rate(&self) -> Option<f64> {
        let is_known = self.pressed_seconds > 0.0 && self.drained_recently > 0.0;
        is_known.then(|| self.drained_recently / self.pressed_seconds)
    }
}

fn as_duration(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
}
