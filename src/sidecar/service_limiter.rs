use {
    crate::time::{TimePoint, decay_factor},
    std::time::Duration,
};

/// Pressure at which a loaded service is held: full slots and a short queue.
const PRESSURE_SETPOINT: f64 = 1.15;
/// Pressure above which an ingress sidecar starts to limit.
const LIMIT_START_PRESSURE: f64 = 1.25;
/// Pressure below which an ingress sidecar stops limiting.
const LIMIT_STOP_PRESSURE: f64 = 0.85;
/// Pressure above which ranks higher than the lowest are limited too.
const HIGHER_RANK_LIMIT_PRESSURE: f64 = 1.7;
/// Amount by which that pressure rises with each rank above the lowest.
const PRESSURE_STEP_PER_RANK: f64 = 0.25;
/// Maximum pressure that the rate responds to; a longer queue gives no more information.
const MAX_CONTROL_PRESSURE: f64 = 2.5;
/// Relative change of the rate per second (as an exponent) for a pressure error of 1.
const RATE_GAIN_PER_S: f64 = 1.0;
/// Minimum share of the current admitted load that remains when limiting starts.
const INITIAL_RATE_SHARE: f64 = 0.5;
/// Bounds of the rate as factors of the sidecar's fair share.
const MIN_RATE_FACTOR: f64 = 0.25;
const MAX_RATE_FACTOR: f64 = 3.0;
/// Maximum burst, in seconds at the current rate.
const BURST_SECONDS: f64 = 0.15;
/// Maximum debt that higher ranks may run up and the lowest rank waits out, in seconds at the
/// current rate.
const MAX_DEBT_SECONDS: f64 = 0.3;
/// Time constant of the moving average of admitted load.
const ADMITTED_LOAD_TIME_CONSTANT: Duration = Duration::from_millis(600);
/// Time constant of the moving average of recorded pressure, and the minimum weight of one sample.
const PRESSURE_TIME_CONSTANT: Duration = Duration::from_millis(150);
const MIN_SAMPLE_WEIGHT: f64 = 0.03;
/// Time after which an unconfirmed pressure starts to decay, and the time constant of the decay.
const PRESSURE_HOLD_TIME: Duration = Duration::from_millis(400);
/// Minimum time by which a remote measurement must be newer to replace the known pressure.
const REMOTE_PRESSURE_MIN_LEAD: Duration = Duration::from_millis(20);
/// Time without a refusal after which limiting may stop.
const MIN_REFUSAL_FREE_TIME: Duration = Duration::from_millis(1_500);
/// Maximum time that one tick accounts for, in seconds.
const MAX_TICK_SECONDS: f64 = 1.0;

/// Token bucket that limits the work one ingress sidecar admits for one service, in slot seconds
/// per second.
///
/// A call that holds a slot for one second costs one slot second. The cost of a request is known
/// before it runs, so a surge of callers changes how much is refused but not how much is admitted.
/// Limiting starts at the fair share of the sidecar; from there the rate follows the pressure that
/// responses report. Admitted requests may leave a debt (a negative number of tokens), which those
/// of the lowest rank wait out.
#[derive(Clone, Debug)]
pub struct ServiceLimiter {
    pressure: f64,
    pressure_measured_at: TimePoint,
    /// Slot seconds per second; `None` while nothing is limited.
    rate_limit: Option<f64>,
    tokens: f64,
    admitted_load: f64,
    updated_at: TimePoint,
    last_refusal_at: TimePoint,
}

impl ServiceLimiter {
    #[must_use]
    pub fn new(now: TimePoint) -> Self {
        Self {
            pressure: 0.0,
            pressure_measured_at: TimePoint::ORIGIN,
            rate_limit: None,
            tokens: 0.0,
            admitted_load: 0.0,
            updated_at: now,
            last_refusal_at: now,
        }
    }

    /// Rate limit in slot seconds per second; `None` while the service is not limited.
    #[must_use]
    pub fn rate_limit(&self) -> Option<f64> {
        self.rate_limit
    }

    #[must_use]
    pub fn pressure(&self) -> f64 {
        self.pressure
    }

    /// Moving average of the admitted slot seconds per second.
    #[must_use]
    pub fn admitted_load(&self) -> f64 {
        self.admitted_load
    }

    /// Age of the known pressure.
    #[must_use]
    pub fn pressure_age(&self, now: TimePoint) -> Duration {
        now.since(self.pressure_measured_at)
    }

    /// Records a pressure of the service measured at `now`.
    pub fn record_pressure(&mut self, now: TimePoint, pressure: f64) {
        let elapsed = now.since(self.pressure_measured_at).as_secs_f64();
        let decay = decay_factor(elapsed, PRESSURE_TIME_CONSTANT);
        let decay = decay.min(1.0 - MIN_SAMPLE_WEIGHT);
        self.pressure = self.pressure * decay + pressure * (1.0 - decay);
        self.pressure_measured_at = now;
    }

    /// Applies a pressure that another sidecar reports as `age` old, if it is newer than the known
    /// one.
    pub fn merge_remote_pressure(&mut self, now: TimePoint, pressure: f64, age: Duration) {
        let measured_at = now - age;
        if measured_at > self.pressure_measured_at + REMOTE_PRESSURE_MIN_LEAD {
            self.pressure = pressure;
            self.pressure_measured_at = measured_at;
        }
    }

    /// Whether a request may pass whose rank is `rank_step` above the lowest.
    ///
    /// Higher ranks are limited only once the debt, which the lowest rank waits out, is at its
    /// maximum.
    #[must_use]
    pub fn admits(&self, rank_step: u8) -> bool {
        let Some(rate) = self.rate_limit else {
            return true;
        };
        if rank_step == 0 {
            return self.tokens > 0.0;
        }
        let has_max_debt = self.tokens <= -rate * MAX_DEBT_SECONDS;
        !has_max_debt
            || self.pressure
                < HIGHER_RANK_LIMIT_PRESSURE + f64::from(rank_step) * PRESSURE_STEP_PER_RANK
    }

    pub fn charge(&mut self, slot_seconds: f64) {
        self.admitted_load += slot_seconds / ADMITTED_LOAD_TIME_CONSTANT.as_secs_f64();
        if let Some(rate) = self.rate_limit {
            // The debt limit includes the cost itself, even if it is far above the rate; otherwise,
            // at a sidecar with a small share, the tokens of each tick would cover the whole cost
            // of a request.
            let min_tokens = -rate * MAX_DEBT_SECONDS - slot_seconds;
            // A request of low cost must not reduce the debt of an earlier one of high cost.
            let min_tokens = min_tokens.min(self.tokens);
            self.tokens = (self.tokens - slot_seconds).max(min_tokens);
        }
    }

    pub fn record_refusal(&mut self, now: TimePoint) {
        self.last_refusal_at = now;
    }

    /// Time until the bucket holds enough tokens for a request of this cost.
    #[must_use]
    pub fn admission_delay(&self, slot_seconds: f64) -> Duration {
        let Some(rate) = self.rate_limit else {
            return Duration::ZERO;
        };
        let missing = (slot_seconds - self.tokens).max(0.0);
        Duration::try_from_secs_f64(missing / rate).unwrap_or(Duration::MAX)
    }

    /// Updates the rate and the tokens; `fair_share` is the rate of each sidecar if all need the
    /// same.
    pub fn tick(&mut self, now: TimePoint, fair_share: f64) {
        let elapsed = now
            .since(self.updated_at)
            .as_secs_f64()
            .min(MAX_TICK_SECONDS);
        self.updated_at = now;
        self.admitted_load *= decay_factor(elapsed, ADMITTED_LOAD_TIME_CONSTANT);
        if now.since(self.pressure_measured_at) > PRESSURE_HOLD_TIME {
            self.pressure *= decay_factor(elapsed, PRESSURE_HOLD_TIME);
        }
        let Some(rate) = self.rate_limit else {
            if self.pressure > LIMIT_START_PRESSURE {
                self.rate_limit = Some(fair_share.max(self.admitted_load * INITIAL_RATE_SHARE));
                self.tokens = 0.0;
            }
            return;
        };
        let has_no_refusals = now.since(self.last_refusal_at) > MIN_REFUSAL_FREE_TIME;
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
