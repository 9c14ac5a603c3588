use {
    crate::time::{TimePoint, decay_factor},
    std::time::Duration,
};

/// Pressure that fronts hold a loaded service at: full slots and a short queue.
const PRESSURE_SETPOINT: f64 = 1.15;
/// Pressure from which a front begins to limit what it admits.
const LIMIT_START_PRESSURE: f64 = 1.25;
/// Pressure under which a front stops to limit.
const LIMIT_STOP_PRESSURE: f64 = 0.85;
/// Pressure from which ranks above the lowest are limited too.
const HIGHER_RANK_LIMIT_PRESSURE: f64 = 1.7;
/// Highest pressure that the rate answers to; the queue behind it tells no more.
const MAX_CONTROL_PRESSURE: f64 = 2.5;
/// Change of the rate per second for a pressure that is off by one, as an exponent.
const RATE_GAIN_PER_S: f64 = 1.0;
/// Part of the work admitted so far that remains at least when a front begins to limit.
const INITIAL_RATE_SHARE: f64 = 0.5;
/// Bounds of the rate against the fair share of the front.
const MIN_RATE_FACTOR: f64 = 0.25;
const MAX_RATE_FACTOR: f64 = 3.0;
/// Work that may be admitted at once, as time at the current rate.
const BURST_SECONDS: f64 = 0.15;
/// Most debt that higher ranks run up for the lowest to wait out, as time at the current rate.
const MAX_DEBT_SECONDS: f64 = 0.3;
/// Time over which admitted work is averaged.
const ADMITTED_LOAD_TIME_CONSTANT: Duration = Duration::from_millis(600);
/// Time over which reported pressure is averaged, and the least part that one report changes.
const PRESSURE_TIME_CONSTANT: Duration = Duration::from_millis(150);
const MIN_SAMPLE_WEIGHT: f64 = 0.03;
/// Time after which a pressure that nobody confirms begins to fade.
const PRESSURE_HOLD_TIME: Duration = Duration::from_millis(400);
/// Time by which what others have heard must be newer to replace what is known.
const REMOTE_PRESSURE_MIN_LEAD: Duration = Duration::from_millis(20);
/// Time without a refusal after which a front may stop to limit.
const MIN_REFUSAL_FREE_TIME: Duration = Duration::from_millis(1_500);

/// What one front admits of the work for one loaded service, in slot seconds a second.
///
/// A front knows the cost of a request before it has run, so a surge of callers changes what is
/// refused and not what is admitted. Limiting begins at the fair share of the front; from there the
/// rate follows the pressure that answers carry back.
#[derive(Clone, Debug)]
pub struct ServiceLimiter {
    pressure: f64,
    reported_at: TimePoint,
    /// Slot seconds a second; `None` while nothing is limited.
    rate_limit: Option<f64>,
    tokens: f64,
    admitted_load: f64,
    updated_at: TimePoint,
    refused_at: TimePoint,
}

impl ServiceLimiter {
    #[must_use]
    pub fn new(now: TimePoint) -> Self {
        Self {
            pressure: 0.0,
            reported_at: TimePoint::ORIGIN,
            rate_limit: None,
            tokens: 0.0,
            admitted_load: 0.0,
            updated_at: now,
            refused_at: now,
        }
    }

    /// Slot seconds a second, while the service is held back.
    #[must_use]
    pub fn rate_limit(&self) -> Option<f64> {
        self.rate_limit
    }

    #[must_use]
    pub fn pressure(&self) -> f64 {
        self.pressure
    }

    /// Slot seconds a second that were admitted of late.
    #[must_use]
    pub fn admitted_load(&self) -> f64 {
        self.admitted_load
    }

    /// Age of the pressure.
    #[must_use]
    pub fn pressure_age(&self, now: TimePoint) -> Duration {
        now.since(self.reported_at)
    }

    /// Takes the pressure of the service, as measured now.
    pub fn record_pressure(&mut self, now: TimePoint, pressure: f64) {
        let elapsed = now.since(self.reported_at).as_secs_f64();
        let decay = decay_factor(elapsed, PRESSURE_TIME_CONSTANT);
        let decay = decay.min(1.0 - MIN_SAMPLE_WEIGHT);
        self.pressure = self.pressure * decay + pressure * (1.0 - decay);
        self.reported_at = now;
    }

    /// Takes the pressure that another daemon knew of `age` ago.
    pub fn merge_remote_pressure(&mut self, now: TimePoint, pressure: f64, age: Duration) {
        let measured = now - age;
        if measured > self.reported_at + REMOTE_PRESSURE_MIN_LEAD {
            self.pressure = pressure;
            self.reported_at = measured;
        }
    }

    /// Whether a request so many ranks above the lowest may pass.
    ///
    /// Higher ranks are held back only if there is nothing left to take from the lowest.
    #[must_use]
    pub fn admits(&self, rank_step: u8) -> bool {
        let Some(rate) = self.rate_limit else {
            return true;
        };
        if rank_step == 0 {
            return self.tokens > 0.0;
        }
        let has_max_debt = self.tokens <= -rate * MAX_DEBT_SECONDS;
        !has_max_debt || self.pressure < HIGHER_RANK_LIMIT_PRESSURE + f64::from(rank_step) / 4.0
    }

    pub fn charge(&mut self, slot_seconds: f64) {
        self.admitted_load += slot_seconds / ADMITTED_LOAD_TIME_CONSTANT.as_secs_f64();
        if let Some(rate) = self.rate_limit {
            // The cost itself stays in the books even where it is far above the rate: else each
            // tick would forgive a whole request of a front with a small share.
            let min_tokens = -rate * MAX_DEBT_SECONDS - slot_seconds;
            // A cheap request forgives nothing of what a dear one before it owes.
            let min_tokens = min_tokens.min(self.tokens);
            self.tokens = (self.tokens - slot_seconds).max(min_tokens);
        }
    }

    pub fn record_refusal(&mut self, now: TimePoint) {
        self.refused_at = now;
    }

    /// Time until one request of this cost has room.
    #[must_use]
    pub fn admission_delay(&self, slot_seconds: f64) -> Duration {
        let Some(rate) = self.rate_limit else {
            return Duration::ZERO;
        };
        let missing = (slot_seconds - self.tokens).max(0.0);
        Duration::try_from_secs_f64(missing / rate).unwrap_or(Duration::MAX)
    }

    /// Moves the rate; `fair_share` is what each front may admit if all want as much.
    pub fn tick(&mut self, now: TimePoint, fair_share: f64) {
        let elapsed = now.since(self.updated_at).as_secs_f64().min(1.0);
        self.updated_at = now;
        self.admitted_load *= decay_factor(elapsed, ADMITTED_LOAD_TIME_CONSTANT);
        if now.since(self.reported_at) > PRESSURE_HOLD_TIME {
            self.pressure *= decay_factor(elapsed, PRESSURE_HOLD_TIME);
        }
        let Some(rate) = self.rate_limit else {
            if self.pressure > LIMIT_START_PRESSURE {
                self.rate_limit = Some(fair_share.max(self.admitted_load * INITIAL_RATE_SHARE));
                self.tokens = 0.0;
            }
            return;
        };
        let has_no_refusals = now.since(self.refused_at) > MIN_REFUSAL_FREE_TIME;
        if has_no_refusals && self.pressure < LIMIT_STOP_PRESSURE {
            self.rate_limit = None;
            return;
        }
        let error = PRESSURE_SETPOINT - self.pressure.min(MAX_CONTROL_PRESSURE);
        let adjusted = rate * (RATE_GAIN_PER_S * error * elapsed).exp();
        let min_rate = fair_share * MIN_RATE_FACTOR;
        let max_rate = (fair_share * MAX_RATE_FACTOR).max(min_rate);
        let rate = adjusted.clamp(min_rate, max_rate);
        self.rate_limit = Some(rate);
        self.tokens = (self.tokens + rate * elapsed).min(rate * BURST_SECONDS);
    }
}
