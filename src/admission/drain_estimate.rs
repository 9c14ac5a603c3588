use {
    crate::time::TimePoint,
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
pub(super) struct DrainEstimate {
    ticked: TimePoint,
    drained: u32,
    refused: u32,
    /// Calls a second; `None` before the first pressure.
    rate: Option<f64>,
    /// When the rate was last measured.
    measured: TimePoint,
    /// Calls refused of late, who may all come back.
    refused_recently: f64,
}

impl DrainEstimate {
    pub(super) fn new(now: TimePoint) -> Self {
        Self {
            ticked: now,
            drained: 0,
            refused: 0,
            rate: None,
            measured: now,
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
        let kept = (-elapsed / RATE_MEMORY.as_secs_f64()).exp();
        self.refused_recently = self.refused_recently * kept + f64::from(self.refused);
        if is_saturated {
            self.measure(now, elapsed, kept);
        } else if now.since(self.measured) > RATE_EXPIRY {
            self.rate = None;
        }
        self.ticked = now;
        self.drained = 0;
        self.refused = 0;
    }

    /// Time until `count` calls have left; zero if the rate is unknown.
    pub(super) fn wait_for(&self, count: u32) -> Duration {
        match self.rate {
            Some(rate) if count > 0 => as_duration(f64::from(count) / rate),
            _ => Duration::ZERO,
        }
    }

    /// When a refused call has a chance: once the queue and those refused before it are served.
    pub(super) fn retry_after<R: Rng + ?Sized>(&self, queued: u32, rng: &mut R) -> Duration {
        let backlog = f64::from(queued) + self.refused_recently + f64::from(self.refused);
        let seconds = self.rate.map_or(0.0, |rate| backlog / rate);
        let base = as_duration(seconds).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        base.mul_f64(rng.random_range(1.0..2.0))
    }

    fn measure(&mut self, now: TimePoint, elapsed: f64, kept: f64) {
        let newest = f64::from(self.drained) / elapsed;
        let rate = match self.rate {
            Some(rate) => rate * kept + newest * (1.0 - kept),
            None => newest,
        };
        self.rate = (rate > 0.0).then_some(rate);
        self.measured = now;
    }
}

fn as_duration(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
}
