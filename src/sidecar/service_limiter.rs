use {
    crate::time::{TimePoint, decay_factor},
    std::time::Duration,
};

/// Pressure that fronts hold a loaded service at: full slots and a short queue.
const TARGET_PRESSURE: f64 = 1.15;
/// Pressure from which a front begins to limit what it admits.
const CLOSING_PRESSURE: f64 = 1.25;
/// Pressure under which a front stops to limit.
const OPENING_PRESSURE: f64 = 0.85;
/// Pressure from which ranks above the lowest are limited too.
const RANKED_PRESSURE: f64 = 1.7;
/// Highest pressure that the rate answers to; the queue behind it tells no more.
const MAX_PRESSURE: f64 = 2.5;
/// Change of the rate per second for a pressure that is off by one, as an exponent.
const RATE_GAIN: f64 = 1.0;
/// Part of the work admitted so far that remains at least when a front begins to limit.
const FIRST_SHARE: f64 = 0.5;
/// Bounds of the rate against the fair share of the front.
const LEAST_RATE: f64 = 0.25;
const MOST_RATE: f64 = 3.0;
/// Work that may be admitted at once, as time at the current rate.
const BURST_SPAN: f64 = 0.15;
/// Most debt that higher ranks run up for the lowest to wait out, as time at the current rate.
const DEBT_SPAN: f64 = 0.3;
/// Time over which admitted work is averaged.
const ADMITTED_MEMORY: Duration = Duration::from_millis(600);
/// Time over which reported pressure is averaged, and the least part that one report changes.
const PRESSURE_MEMORY: Duration = Duration::from_millis(150);
const LEAST_WEIGHT: f64 = 0.03;
/// Time after which a pressure that nobody confirms begins to fade.
const REPORT_HOLD: Duration = Duration::from_millis(400);
/// Time by which what others have heard must be newer to replace what is known.
const RUMOUR_LEAD: Duration = Duration::from_millis(20);
/// Time without a refusal after which a front may stop to limit.
const QUIET_SPAN: Duration = Duration::from_millis(1_500);

/// What one front admits of the work for one loaded service, in slot seconds a second.
///
/// A front knows the cost of a request before it has run, so a surge of callers changes what is
/// refused and not what is admitted. Limiting begins at the fair share of the front; from there the
/// rate follows the pressure that answers carry back.
#[derive(Clone, Debug)]
pub struct ServiceLimiter {
    pressure: f64,
    reported: TimePoint,
    /// Slot seconds a second; `None` while nothing is limited.
    rate: Option<f64>,
    tokens: f64,
    admitted: f64,
    ticked: TimePoint,
    refused: TimePoint,
}

impl ServiceLimiter {
    #[must_use]
    pub fn new(now: TimePoint) -> Self {
        Self {
            pressure: 0.0,
            reported: TimePoint::ORIGIN,
            rate: None,
            tokens: 0.0,
            admitted: 0.0,
            ticked: now,
            refused: now,
        }
    }

    /// Slot seconds a second, while the service is held back.
    #[must_use]
    pub fn rate(&self) -> Option<f64> {
        self.rate
    }

    #[must_use]
    pub fn pressure(&self) -> f64 {
        self.pressure
    }

    /// Slot seconds a second that were admitted of late.
    #[must_use]
    pub fn admitted(&self) -> f64 {
        self.admitted
    }

    /// Age of the pressure.
    #[must_use]
    pub fn age(&self, now: TimePoint) -> Duration {
        now.since(self.reported)
    }

    /// Takes the pressure of the service, as measured now.
    pub fn note_pressure(&mut self, now: TimePoint, pressure: f64) {
        let elapsed = now.since(self.reported).as_secs_f64();
        let kept = decay_factor(elapsed, PRESSURE_MEMORY);
        let kept = kept.min(1.0 - LEAST_WEIGHT);
        self.pressure = self.pressure * kept + pressure * (1.0 - kept);
        self.reported = now;
    }

    /// Takes the pressure that another daemon knew of `age` ago.
    pub fn hear_pressure(&mut self, now: TimePoint, pressure: f64, age: Duration) {
        let measured = now - age;
        if measured > self.reported + RUMOUR_LEAD {
            self.pressure = pressure;
            self.reported = measured;
        }
    }

    /// Whether a request so many ranks above the lowest may pass.
    ///
    /// Higher ranks are held back only if there is nothing left to take from the lowest.
    #[must_use]
    pub fn is_open(&self, rank_step: u8) -> bool {
        let Some(rate) = self.rate else {
            return true;
        };
        if rank_step == 0 {
            return self.tokens > 0.0;
        }
        let is_indebted = self.tokens <= -rate * DEBT_SPAN;
        !is_indebted || self.pressure < RANKED_PRESSURE + f64::from(rank_step) / 4.0
    }

    pub fn admit(&mut self, slot_seconds: f64) {
        self.admitted += slot_seconds / ADMITTED_MEMORY.as_secs_f64();
        if let Some(rate) = self.rate {
            // The cost itself stays in the books even where it is far above the rate: else each
            // tick would forgive a whole request of a front with a small share.
            let floor = -rate * DEBT_SPAN - slot_seconds;
            // A cheap request forgives nothing of what a dear one before it owes.
            let floor = floor.min(self.tokens);
            self.tokens = (self.tokens - slot_seconds).max(floor);
        }
    }

    pub fn note_refusal(&mut self, now: TimePoint) {
        self.refused = now;
    }

    /// Time until one request of this cost has room.
    #[must_use]
    pub fn wait_for(&self, slot_seconds: f64) -> Duration {
        let Some(rate) = self.rate else {
            return Duration::ZERO;
        };
        let missing = (slot_seconds - self.tokens).max(0.0);
        Duration::try_from_secs_f64(missing / rate).unwrap_or(Duration::MAX)
    }

    /// Moves the rate; `fair_share` is what each front may admit if all want as much.
    pub fn tick(&mut self, now: TimePoint, fair_share: f64) {
        let elapsed = now.since(self.ticked).as_secs_f64().min(1.0);
        self.ticked = now;
        self.admitted *= decay_factor(elapsed, ADMITTED_MEMORY);
        if now.since(self.reported) > REPORT_HOLD {
            self.pressure *= decay_factor(elapsed, REPORT_HOLD);
        }
        let Some(rate) = self.rate else {
            if self.pressure > CLOSING_PRESSURE {
                self.rate = Some(fair_share.max(self.admitted * FIRST_SHARE));
                self.tokens = 0.0;
            }
            return;
        };
        let is_quiet = now.since(self.refused) > QUIET_SPAN;
        if is_quiet && self.pressure < OPENING_PRESSURE {
            self.rate = None;
            return;
        }
        let error = TARGET_PRESSURE - self.pressure.min(MAX_PRESSURE);
        let moved = rate * (RATE_GAIN * error * elapsed).exp();
        let least = fair_share * LEAST_RATE;
        let most = (fair_share * MOST_RATE).max(least);
        let rate = moved.clamp(least, most);
        self.rate = Some(rate);
        self.tokens = (self.tokens + rate * elapsed).min(rate * BURST_SPAN);
    }
}
