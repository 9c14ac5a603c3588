use {
    super::QueuePressure,
    crate::time::{TimePoint, decay_factor},
    std::time::Duration,
};

/// Number of levels in which requests are admitted.
const LEVEL_COUNT: usize = CHEAP_LEVEL as usize + 1;
/// Level of requests that hardly take capacity from others. It is limited by its own load alone.
pub(super) const CHEAP_LEVEL: u8 = 15;
/// Highest level of a rank; ranks further above the lowest share it.
pub(super) const MAX_RANK_LEVEL: u8 = CHEAP_LEVEL - 1;
/// Bounds of the queue of the lowest rank, relative to the slots that higher ranks leave it, and
/// the queue while it is not known what its requests can afford.
const MIN_LOWEST_QUEUE: f64 = 0.1;
const MAX_LOWEST_QUEUE: f64 = 0.5;
const DEFAULT_LOWEST_QUEUE: f64 = 0.15;
/// Urgent pressure at which a service is held for the first level above the lowest, and the
/// increase with each further one and over all of them.
const URGENT_SETPOINT: f64 = 1.6;
const MAX_SETPOINT_STEP: f64 = 0.25;
const SETPOINT_RANGE: f64 = 0.5;
/// The same for requests that hardly take capacity.
const CHEAP_SETPOINT: f64 = 2.35;
/// Pressure above which an ingress sidecar starts to limit.
const LIMIT_START_PRESSURE: f64 = 1.0;
/// Pressure below which nothing is refused, since slots are free.
const IDLE_PRESSURE: f64 = 0.9;
/// Pressure below which an ingress sidecar stops limiting.
const LIMIT_STOP_PRESSURE: f64 = 0.85;
/// Relative reduction of the rate for a pressure of 1 above the setpoint.
const OVERLOAD_GAIN: f64 = 0.8;
/// Relative increase of the rate for a pressure of 1 below the setpoint; larger, since slots that
/// stay free are lost.
const UNDERLOAD_GAIN: f64 = 2.5;
/// Bounds of the correction of the rate by the pressure.
const MIN_CORRECTION: f64 = 0.05;
const MAX_CORRECTION: f64 = 3.0;
/// Relative change of the share per second for a pressure error of 1.
const SHARE_GAIN_PER_S: f64 = 0.2;
/// Maximum pressure error that changes the share.
const MAX_SHARE_ERROR: f64 = 0.5;
/// Bounds of the share, as a multiple of the share of a sidecar if all are alike.
const MIN_SHARE: f64 = 0.3;
const MAX_SHARE: f64 = 4.0;
/// Time constant of the share while nothing is limited.
const SHARE_TIME_CONSTANT: Duration = Duration::from_secs(2);
/// Pressure range in which calls don't queue, so that the load of the service is known from it.
const MIN_SHARE_PRESSURE: f64 = 0.5;
const MAX_SHARE_PRESSURE: f64 = 1.05;
/// Maximum burst and maximum debt of a level, in seconds at the base rate.
const BURST_SECONDS: f64 = 0.3;
const MAX_DEBT_SECONDS: f64 = 0.3;
/// Urgent pressure up to which the debt of a higher level doesn't matter: its calls don't queue. A
/// sidecar with more than its share of urgent requests refuses none of them then, although others
/// have tokens left.
const FREE_URGENT_PRESSURE: f64 = 1.1;
/// Time constant of the moving average of admitted load.
const ADMITTED_LOAD_TIME_CONSTANT: Duration = Duration::from_millis(1_200);
/// Time constant of the moving average of recorded pressure, and the minimum weight of one sample.
const PRESSURE_TIME_CONSTANT: Duration = Duration::from_millis(60);
const MIN_SAMPLE_WEIGHT: f64 = 0.03;
/// Time after which an unconfirmed pressure starts to decay, and the time constant of the decay.
const PRESSURE_HOLD_TIME: Duration = Duration::from_millis(400);
/// Minimum time by which a remote measurement must be newer to replace the known pressure.
const REMOTE_PRESSURE_MIN_LEAD: Duration = Duration::from_millis(20);
/// Time without a refusal after which limiting may stop.
const MIN_REFUSAL_FREE_TIME: Duration = Duration::from_millis(1_500);
/// Maximum time that one tick accounts for, in seconds.
const MAX_TICK_SECONDS: f64 = 1.0;

/// Limits the work that one ingress sidecar admits for one service, in slot seconds per second.
///
/// A call that holds a slot for one second costs one slot second, and a service offers as many per
/// second as its targets may run calls at once. So the capacity is known before any pressure is:
/// the rate is the capacity, times this sidecar's share of the load, times a correction by the
/// pressure. The correction is proportional, since the queue already integrates the difference
/// between admitted work and capacity; only the share is adjusted over time.
///
/// Each level above the lowest has a token bucket of its own with that rate, which only requests of
/// that level and higher ones are charged to. So the higher levels leave the rest to the lower
/// ones, and none is refused for a lower one.
#[derive(Clone, Debug)]
pub struct ServiceLimiter {
    pressure: QueuePressure,
    pressure_measured_at: TimePoint,
    /// Rate at a pressure at the setpoint, in slot seconds per second; `None` while nothing is
    /// limited.
    base_rate: Option<f64>,
    /// Share of the load, as a multiple of the share of a sidecar if all are alike.
    share: f64,
    /// Queue of the lowest rank, relative to the slots that higher ranks leave it.
    lowest_queue: f64,
    /// Level of the highest rank in use.
    top_level: u8,
    tokens: [f64; LEVEL_COUNT],
    /// Share of the admitted load that lifted requests get, and their tokens.
    lift_share: f64,
    lift_tokens: f64,
    /// Moving average of the admitted slot seconds per second by level.
    admitted_loads: [f64; LEVEL_COUNT],
    updated_at: TimePoint,
    last_refusal_at: TimePoint,
}

impl ServiceLimiter {
    #[must_use]
    pub fn new(now: TimePoint) -> Self {
        Self {
            pressure: QueuePressure::default(),
            pressure_measured_at: TimePoint::ORIGIN,
            base_rate: None,
            share: 1.0,
            lowest_queue: DEFAULT_LOWEST_QUEUE,
            top_level: MAX_RANK_LEVEL,
            tokens: [0.0; LEVEL_COUNT],
            lift_share: 0.0,
            lift_tokens: 0.0,
            admitted_loads: [0.0; LEVEL_COUNT],
            updated_at: now,
            last_refusal_at: now,
        }
    }

    /// Sets the share of the admitted load that lifted requests get.
    pub(super) fn set_lift_share(&mut self, lift_share: f64) {
        self.lift_share = lift_share;
    }

    #[must_use]
    pub(super) fn is_limiting(&self) -> bool {
        self.base_rate.is_some()
    }

    /// Rate limit of the lowest level in slot seconds per second; `None` while the service is not
    /// limited.
    #[must_use]
    pub fn rate_limit(&self) -> Option<f64> {
        self.base_rate.map(|rate| rate * self.correction(0, rate))
    }

    #[must_use]
    pub fn pressure(&self) -> QueuePressure {
        self.pressure
    }

    /// Whether calls above the lowest rank queue.
    #[must_use]
    pub fn has_urgent_queue(&self) -> bool {
        self.pressure.urgent > FREE_URGENT_PRESSURE
    }

    /// Moving average of the admitted slot seconds per second.
    #[must_use]
    pub fn admitted_load(&self) -> f64 {
        self.admitted_loads.iter().sum()
    }

    /// Age of the known pressure.
    #[must_use]
    pub fn pressure_age(&self, now: TimePoint) -> Duration {
        now.since(self.pressure_measured_at)
    }

    /// Records a pressure of the service measured at `now`.
    pub fn record_pressure(&mut self, now: TimePoint, pressure: QueuePressure) {
        let elapsed = now.since(self.pressure_measured_at).as_secs_f64();
        let decay = decay_factor(elapsed, PRESSURE_TIME_CONSTANT);
        let decay = decay.min(1.0 - MIN_SAMPLE_WEIGHT);
        self.pressure.update(pressure, decay);
        self.pressure_measured_at = now;
    }

    /// Applies a pressure that another sidecar reports as `age` old, if it is newer than the known
    /// one.
    pub fn merge_remote_pressure(
        &mut self,
        now: TimePoint,
        pressure: QueuePressure,
        age: Duration,
    ) {
        let measured_at = now - age;
        if measured_at > self.pressure_measured_at + REMOTE_PRESSURE_MIN_LEAD {
            self.pressure = pressure;
            self.pressure_measured_at = measured_at;
        }
    }

    /// Whether a request of this level may pass.
    #[must_use]
    pub fn admits(&self, level: u8) -> bool {
        let Some(base_rate) = self.base_rate else {
            return true;
        };
        let level = level.min(CHEAP_LEVEL);
        if level == 0 {
            return self.tokens[usize::from(level)] > 0.0 || self.pressure.total < IDLE_PRESSURE;
        }
        let error = self.pressure_error(level, base_rate);
        let margin = error / (error + self.pressure.urgent - FREE_URGENT_PRESSURE);
        let allowed_debt = base_rate * MAX_DEBT_SECONDS * margin.max(0.0);
        !self.has_urgent_queue() || self.tokens[usize::from(level)] > -allowed_debt
    }

    /// Charges an admitted request to its level and all lower ones.
    pub fn charge(&mut self, level: u8, slot_seconds: f64) {
        let level = level.min(CHEAP_LEVEL);
        self.admitted_loads[usize::from(level)] +=
            slot_seconds / ADMITTED_LOAD_TIME_CONSTANT.as_secs_f64();
        let Some(base_rate) = self.base_rate else {
            return;
        };
        for level in 0..=level {
            // The debt limit includes the cost itself, even if it is far above the rate; otherwise,
            // at a sidecar with a small share, the tokens of each tick would cover the whole cost
            // of a request.
            let min_tokens = -base_rate * MAX_DEBT_SECONDS - slot_seconds;
            // A request of low cost must not reduce the debt of an earlier one of high cost.
            let tokens = &mut self.tokens[usize::from(level)];
            let min_tokens = min_tokens.min(*tokens);
            *tokens = (*tokens - slot_seconds).max(min_tokens);
        }
    }

    /// Whether a lifted request may pass.
    pub(super) fn admits_lift(&self) -> bool {
        self.lift_tokens > 0.0
    }

    /// Takes the tokens of a lifted request that is charged to no rank, since its cost is unknown.
    pub(super) fn take_lift(&mut self, slot_seconds: f64) {
        self.lift_tokens -= slot_seconds;
    }

    /// Charges a lifted request to the highest rank and all lower ones.
    pub(super) fn charge_lift(&mut self, slot_seconds: f64) {
        self.take_lift(slot_seconds);
        self.charge(self.top_level, slot_seconds);
    }

    pub fn record_refusal(&mut self, now: TimePoint) {
        self.last_refusal_at = now;
    }

    /// Time until the bucket of the level holds enough tokens for a request of this cost.
    #[must_use]
    pub fn admission_delay(&self, level: u8, slot_seconds: f64) -> Duration {
        let Some(base_rate) = self.base_rate else {
            return Duration::ZERO;
        };
        let level = level.min(CHEAP_LEVEL);
        let missing = (slot_seconds - self.tokens[usize::from(level)]).max(0.0);
        let rate = base_rate * self.correction(level, base_rate);
        Duration::try_from_secs_f64(missing / rate).unwrap_or(Duration::MAX)
    }

    /// Sets the level of the highest rank.
    pub(super) fn set_top_level(&mut self, level: u8) {
        self.top_level = level;
    }

    /// Updates the rate and the tokens; `fair_share` is the rate of each sidecar if all need the
    /// same, `affordable_queue` the queue that requests of the lowest rank can afford, relative to
    /// the slots that they use.
    pub fn tick(&mut self, now: TimePoint, fair_share: f64, affordable_queue: Option<f64>) {
        let affordable_queue = affordable_queue.unwrap_or(DEFAULT_LOWEST_QUEUE);
        self.lowest_queue = affordable_queue.clamp(MIN_LOWEST_QUEUE, MAX_LOWEST_QUEUE);
        let elapsed = now
            .since(self.updated_at)
            .as_secs_f64()
            .min(MAX_TICK_SECONDS);
        self.updated_at = now;
        let decay = decay_factor(elapsed, ADMITTED_LOAD_TIME_CONSTANT);
        for load in &mut self.admitted_loads {
            *load *= decay;
        }
        if now.since(self.pressure_measured_at) > PRESSURE_HOLD_TIME {
            self.pressure
                .scale(decay_factor(elapsed, PRESSURE_HOLD_TIME));
        }
        // Without a known target there is no capacity to divide; the last rate stays in force.
        if fair_share <= 0.0 {
            return;
        }
        if self.base_rate.is_none() {
            self.measure_share(now, elapsed, fair_share);
            if self.pressure.total <= LIMIT_START_PRESSURE {
                return;
            }
            self.tokens = [0.0; LEVEL_COUNT];
            self.lift_tokens = 0.0;
        } else {
            let has_no_refusals = now.since(self.last_refusal_at) > MIN_REFUSAL_FREE_TIME;
            if has_no_refusals && self.pressure.total < LIMIT_STOP_PRESSURE {
                self.base_rate = None;
                return;
            }
            self.adjust_share(elapsed);
        }
        let base_rate = fair_share * self.share;
        self.base_rate = Some(base_rate);
        for level in 0..=CHEAP_LEVEL {
            let rate = if level == CHEAP_LEVEL {
                fair_share
            } else {
                base_rate * self.correction(level, base_rate)
            };
            let tokens = self.tokens[usize::from(level)] + rate * elapsed;
            self.tokens[usize::from(level)] = tokens.min(base_rate * BURST_SECONDS);
        }
        let lift_rate = self.admitted_load() * self.lift_share;
        let lift_tokens = self.lift_tokens + lift_rate * elapsed;
        self.lift_tokens = lift_tokens.min(lift_rate * BURST_SECONDS);
    }

    /// Measures the share of the load while the pressure tells the load of the whole service.
    fn measure_share(&mut self, now: TimePoint, elapsed: f64, fair_share: f64) {
        let is_fresh = self.pressure_age(now) < PRESSURE_HOLD_TIME;
        let range = MIN_SHARE_PRESSURE..MAX_SHARE_PRESSURE;
        if is_fresh && range.contains(&self.pressure.total) {
            let measured = self.admitted_load() / (self.pressure.total * fair_share);
            let decay = decay_factor(elapsed, SHARE_TIME_CONSTANT);
            let share = self.share * decay + measured * (1.0 - decay);
            self.share = share.clamp(MIN_SHARE, MAX_SHARE);
        }
    }

    /// Adjusts the share by the pressure error of the lowest level that higher ones leave tokens.
    fn adjust_share(&mut self, elapsed: f64) {
        let Some(base_rate) = self.base_rate else {
            return;
        };
        let has_rest = |level: &u8| {
            let higher_load: f64 = self.admitted_loads[usize::from(level + 1)..].iter().sum();
            higher_load < base_rate * self.correction(*level, base_rate)
        };
        let level = (0..=CHEAP_LEVEL).find(has_rest).unwrap_or(CHEAP_LEVEL);
        let error = self.pressure_error(level, base_rate);
        let error = error.clamp(-MAX_SHARE_ERROR, MAX_SHARE_ERROR);
        let share = self.share * (SHARE_GAIN_PER_S * error * elapsed).exp();
        self.share = share.clamp(MIN_SHARE, MAX_SHARE);
    }

    /// Distance of the pressure below the setpoint of the level.
    fn pressure_error(&self, level: u8, base_rate: f64) -> f64 {
        if level > 0 {
            return self.setpoint(level) - self.pressure.urgent;
        }
        let higher_load: f64 = self.admitted_loads[1..].iter().sum();
        let lowest_share = (1.0 - higher_load / base_rate).clamp(0.0, 1.0);
        1.0 + self.lowest_queue * lowest_share - self.pressure.total
    }

    /// Urgent pressure at which the service is held for a level above the lowest.
    fn setpoint(&self, level: u8) -> f64 {
        if level == CHEAP_LEVEL {
            return CHEAP_SETPOINT;
        }
        let steps = self.top_level.saturating_sub(1).max(1);
        let step = MAX_SETPOINT_STEP.min(SETPOINT_RANGE / f64::from(steps));
        URGENT_SETPOINT + step * f64::from(level.saturating_sub(1).min(steps))
    }

    /// Factor of the rate for the difference between the pressure and the setpoint of the level.
    fn correction(&self, level: u8, base_rate: f64) -> f64 {
        let error = self.pressure_error(level, base_rate);
        let gain = if error > 0.0 {
            UNDERLOAD_GAIN
        } else {
            OVERLOAD_GAIN
        };
        (1.0 + gain * error).clamp(MIN_CORRECTION, MAX_CORRECTION)
    }
}
