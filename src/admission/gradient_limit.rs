use {
    super::{
        ConcurrencyLimit, LimitUsage, LoadReport, ServiceSample,
        external_slowdown::ExternalSlowdown,
        latency_window::{LatencyWindow, WindowSummary, WindowUsage},
    },
    crate::time::TimePoint,
    std::time::Duration,
};

/// The initial limit is the announced slots divided by this number.
const INITIAL_SLOTS_DIVISOR: f64 = 4.0;
/// Minimum initial limit, in concurrent calls.
const MIN_INITIAL_LIMIT: f64 = 2.0;
const MIN_WINDOW_SAMPLES: u32 = 16;
const MAX_WINDOW_SAMPLES: u32 = 64;
/// Samples of a window per call that the limit allows.
const SAMPLES_PER_CALL: u32 = 8;
/// Samples of a window per call that the limit allows, while the limit ramps up.
const RAMP_SAMPLES_PER_CALL: u32 = 2;
/// Minimum share of the limit in use on average for the limit to grow; with fewer calls, the
/// latency does not show whether a higher limit would slow the target.
const MIN_GROWTH_USAGE: f64 = 0.5;
/// Slowdown up to which the limit grows, without the allowance for random deviation.
const MAX_GROWTH_SLOWDOWN: f64 = 1.1;
/// Windows without growth after which the limit grows by one step anyway; a baseline that was
/// estimated too low would otherwise keep the limit too low permanently.
const MAX_WINDOWS_WITHOUT_GROWTH: u32 = 4;
/// Number of standard errors above [`MAX_GROWTH_SLOWDOWN`] beyond which a window counts as slow.
const TOLERATED_STANDARD_ERRORS: f64 = 2.0;
/// Reported utilization from which a target counts as overloaded, in percent.
const OVERLOAD_PERCENT: u32 = 100;
/// Time for which a load report stays in effect.
const REPORT_EXPIRY: Duration = Duration::from_secs(1);
/// Minimum number of consecutive slow windows before the limit is cut or stops ramping up; fewer
/// may be random deviation.
const MIN_SLOW_WINDOWS: u32 = 2;
/// Factor beyond the slowdown that contention among the calls explains, above which the cause is
/// external. Also the remaining slowdown from which a cut is tried although an external cause is
/// known.
const CLEAR_SLOWDOWN: f64 = 2.0;
/// Minimum factor by which one cut multiplies the limit.
const MIN_CUT_FACTOR: f64 = 0.7;
/// Minimum share of the limit in use on average for a cut; with fewer calls, the slowdown does not
/// show whether the limit is too high.
const MIN_CUT_USAGE: f64 = 0.8;
/// Ratio of calls in flight after a cut to those before it, above which the trial is inconclusive.
const MAX_TRIAL_IN_FLIGHT_RATIO: f64 = 0.9;
/// Windows after which the trial of a cut ends.
const TRIAL_WINDOWS: u32 = 2;
/// Minimum ratio of the measured to the expected reduction of the slowdown for a cut to succeed.
const MIN_REDUCTION_RATIO: f64 = 0.6;
/// Ratio of the measured to the expected reduction above which the target has recovered by itself.
const RECOVERY_REDUCTION_RATIO: f64 = 1.5;
/// Ratio of the measured to the expected reduction below which a cut has failed after its first
/// window.
const CLEAR_FAILURE_REDUCTION_RATIO: f64 = 0.3;

/// Limit that follows the ratio of service latency to its own baseline.
///
/// A target may slow down for a reason other than its own concurrency, such as a slow downstream
/// service; fewer concurrent calls would then only reduce goodput. A slowdown is therefore first
/// attributed to an external cause if the target has run as many calls without a slowdown before.
/// Each cut is a trial: if the latency does not fall with it, the limit is restored.
#[derive(Clone, Debug)]
pub struct GradientLimit {
    slots: f64,
    limit: f64,
    growth: LimitGrowth,
    window: LatencyWindow,
    /// Consecutive windows that were slow.
    slow_windows: u32,
    /// Consecutive windows in which the limit was in use and did not grow.
    windows_without_growth: u32,
    /// Highest average concurrency that the target has run without a slowdown; zero until one is
    /// known.
    proven_in_flight: f64,
    trial: Option<CutTrial>,
    external: ExternalSlowdown,
    /// Until then a load report of the target restricts the growth of the limit.
    overload_report_expires_at: TimePoint,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LimitGrowth {
    /// The limit doubles with each window until a slowdown persists or the limit reaches the slots.
    Ramp,
    /// The limit grows by half its square root, and by at least one.
    Probe,
}

/// A cut whose effect is being measured.
#[derive(Clone, Copy, Debug)]
struct CutTrial {
    limit_before: f64,
    summary_before: WindowSummary,
    /// Windows since the cut.
    windows: u32,
    /// Sum over the windows since the cut.
    total_in_flight: f64,
    /// Sum over the windows since the cut.
    total_slowdown: f64,
}

impl CutTrial {
    fn add(&mut self, summary: WindowSummary) {
        self.windows += 1;
        self.total_in_flight += summary.in_flight;
        self.total_slowdown += summary.slowdown;
    }

    fn slowdown_after(&self) -> f64 {
        self.total_slowdown / f64::from(self.windows)
    }

    /// Ratio of the measured reduction of the slowdown to the reduction expected from fewer calls;
    /// `None` if the calls in flight decreased too little.
    fn reduction_ratio(&self) -> Option<f64> {
        let in_flight = self.total_in_flight / f64::from(self.windows);
        let in_flight_ratio = in_flight / self.summary_before.in_flight;
        if in_flight_ratio > MAX_TRIAL_IN_FLIGHT_RATIO {
            return None;
        }
        let reduction = 1.0 - self.slowdown_after() / self.summary_before.slowdown;
        Some(reduction / (1.0 - in_flight_ratio))
    }
}

impl GradientLimit {
    fn window_samples(&self) -> u32 {
        match self.growth {
            LimitGrowth::Ramp => MAX_WINDOW_SAMPLES.min(self.limit() * RAMP_SAMPLES_PER_CALL),
            LimitGrowth::Probe => {
                let samples = self.limit() * SAMPLES_PER_CALL;
                samples.clamp(MIN_WINDOW_SAMPLES, MAX_WINDOW_SAMPLES)
            }
        }
    }

    fn evaluate_window(&mut self, now: TimePoint, summary: WindowSummary) {
        let slowdown = self.external.internal_slowdown(now, summary.slowdown);
        if let Some(trial) = self.trial.take() {
            self.evaluate_trial(now, trial, summary);
        } else if slowdown > slowdown_tolerance(&summary) {
            self.slow_windows += 1;
            if self.slow_windows >= MIN_SLOW_WINDOWS {
                self.growth = LimitGrowth::Probe;
            }
            self.handle_slow_window(now, summary, slowdown);
        } else {
            self.slow_windows = 0;
            self.handle_normal_window(now, summary, slowdown);
        }
    }

    fn handle_normal_window(&mut self, now: TimePoint, summary: WindowSummary, slowdown: f64) {
        if summary.slowdown < MAX_GROWTH_SLOWDOWN {
            self.proven_in_flight = self.proven_in_flight.max(summary.in_flight);
        }
        let is_used = summary.in_flight >= self.limit * MIN_GROWTH_USAGE;
        if !is_used || summary.usage < WindowUsage::Full {
            return;
        }
        self.windows_without_growth += 1;
        let is_fast =
            self.growth == LimitGrowth::Ramp || slowdown < self.max_growth_slowdown(now, summary);
        if is_fast || self.windows_without_growth >= MAX_WINDOWS_WITHOUT_GROWTH {
            self.windows_without_growth = 0;
            self.grow();
        }
    }

    fn max_growth_slowdown(&self, now: TimePoint, summary: WindowSummary) -> f64 {
        if now < self.overload_report_expires_at {
            MAX_GROWTH_SLOWDOWN
        } else {
            MAX_GROWTH_SLOWDOWN + summary.standard_error()
        }
    }

    fn handle_slow_window(&mut self, now: TimePoint, summary: WindowSummary, slowdown: f64) {
        let is_limit_used = summary.usage >= WindowUsage::Full && self.limit > 1.0;
        let is_external =
            self.external.may_attribute(now) && self.exceeds_contention(summary.slowdown);
        if !is_limit_used || is_external {
            self.external.record(now, summary.slowdown);
            return;
        }
        let is_attributed = self.external.is_attributed(now) && slowdown < CLEAR_SLOWDOWN;
        let is_well_used = summary.in_flight >= self.limit * MIN_CUT_USAGE;
        if self.slow_windows >= MIN_SLOW_WINDOWS && is_well_used && !is_attributed {
            self.cut(now, summary, slowdown);
        }
    }

    /// Whether a slowdown is larger than contention explains: calls that share a target slow each
    /// other roughly in proportion to their number.
    fn exceeds_contention(&self, slowdown: f64) -> bool {
        slowdown * self.proven_in_flight > CLEAR_SLOWDOWN * self.limit
    }

    /// Cuts the limit and starts a trial of the cut.
    fn cut(&mut self, now: TimePoint, summary: WindowSummary, slowdown: f64) {
        let factor = (1.0 / slowdown).max(MIN_CUT_FACTOR);
        self.trial = Some(CutTrial {
            limit_before: self.limit,
            summary_before: summary,
            windows: 0,
            total_in_flight: 0.0,
            total_slowdown: 0.0,
        });
        self.limit = (self.limit * factor).max(1.0);
        self.window.restart(now);
    }

    /// Restores the limit if the latency did not fall with the cut, or if the target has recovered
    /// by itself. A result that is unclear after one window is decided after the second.
    fn evaluate_trial(&mut self, now: TimePoint, mut trial: CutTrial, summary: WindowSummary) {
        trial.add(summary);
        let Some(reduction_ratio) = trial.reduction_ratio() else {
            return;
        };
        let is_last = trial.windows >= TRIAL_WINDOWS;
        if reduction_ratio > RECOVERY_REDUCTION_RATIO {
            self.limit = trial.limit_before.min(self.slots);
        } else if reduction_ratio < CLEAR_FAILURE_REDUCTION_RATIO
            || is_last && reduction_ratio < MIN_REDUCTION_RATIO
        {
            self.limit = trial.limit_before.min(self.slots);
            self.external.record(now, trial.slowdown_after());
        } else if !is_last && summary.slowdown > slowdown_tolerance(&summary) {
            self.trial = Some(trial);
        }
    }

    fn grow(&mut self) {
        let step = match self.growth {
            LimitGrowth::Ramp => self.limit,
            LimitGrowth::Probe => (self.limit.sqrt() / 2.0).max(1.0),
        };
        self.limit = (self.limit + step).min(self.slots);
        if self.limit >= self.slots {
            self.growth = LimitGrowth::Probe;
        }
    }
}

/// Slowdown above which a window counts as slow.
fn slowdown_tolerance(summary: &WindowSummary) -> f64 {
    MAX_GROWTH_SLOWDOWN + TOLERATED_STANDARD_ERRORS * summary.standard_error()
}

impl ConcurrencyLimit for GradientLimit {
    fn new(now: TimePoint, slots: u32) -> Self {
        let slots = f64::from(slots.max(1));
        let limit = (slots / INITIAL_SLOTS_DIVISOR)
            .max(MIN_INITIAL_LIMIT)
            .min(slots);
        let growth = if limit < slots {
            LimitGrowth::Ramp
        } else {
            LimitGrowth::Probe
        };
        Self {
            slots,
            limit,
            growth,
            window: LatencyWindow::new(now),
            slow_windows: 0,
            windows_without_growth: 0,
            proven_in_flight: 0.0,
            trial: None,
            external: ExternalSlowdown::default(),
            overload_report_expires_at: now,
        }
    }

    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn limit(&self) -> u32 {
        self.limit as u32
    }

    fn is_ramping(&self) -> bool {
        self.growth == LimitGrowth::Ramp
    }

    fn set_slots(&mut self, _: TimePoint, slots: u32) {
        self.slots = f64::from(slots.max(1));
        self.limit = self.limit.min(self.slots);
    }

    fn observe(&mut self, sample: &ServiceSample) {
        self.window.observe(sample);
    }

    fn report_load(&mut self, now: TimePoint, report: LoadReport) {
        if report.utilization_percent >= OVERLOAD_PERCENT {
            self.overload_report_expires_at = now + REPORT_EXPIRY;
        }
    }

    fn tick(&mut self, now: TimePoint, usage: LimitUsage) {
        self.window.record_usage(usage, self.limit());
        if let Some(summary) = self.window.close(now, self.limit(), self.window_samples()) {
            self.evaluate_window(now, summary);
        }
    }
}
