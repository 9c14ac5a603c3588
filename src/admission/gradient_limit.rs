use {
    super::{
        ConcurrencyLimit, LimitUse, LoadReport, ServiceSample,
        external_slowdown::ExternalSlowdown,
        latency_window::{LatencyWindow, WindowSummary, WindowUse},
    },
    crate::time::TimePoint,
    std::time::Duration,
};

/// Share of the slots that a target starts with: 1 in so many.
const COLD_SHARE: f64 = 4.0;
/// Calls at once that a target starts with at least.
const COLD_LIMIT: f64 = 2.0;
const MIN_WINDOW_SAMPLES: u32 = 16;
const MAX_WINDOW_SAMPLES: u32 = 64;
/// Samples of a window for each call at once.
const SAMPLES_PER_CALL: u32 = 8;
/// The same while the limit ramps up.
const RAMP_SAMPLES_PER_CALL: u32 = 2;
/// Part of the limit that was in use on average, without which its speed says little of it.
const GROWTH_USE: f64 = 0.5;
/// Slowdown up to which the limit grows, beyond chance.
const GROWTH_BOUND: f64 = 1.1;
/// Windows without growth after which the limit is tried one higher, since a floor that was
/// learned too low would hold it for ever.
const HELD_WINDOWS: u32 = 4;
/// Deviations by chance beyond it that count as too many calls.
const TOLERATED_DEVIATIONS: f64 = 2.0;
const OVERLOAD_PERCENT: u32 = 100;
/// Time for which a load report counts.
const REPORT_EXPIRY: Duration = Duration::from_secs(1);
/// Slow windows in a row that are no chance.
const SLOW_WINDOWS: u32 = 2;
/// Slowdown against what crowding explains that comes from outside.
const PLAIN_SLOWDOWN: f64 = 2.0;
/// Smallest part of the limit that one cut leaves.
const SMALLEST_REST: f64 = 0.7;
/// Part of the limit in use on average without which its slowdown says little of it.
const CUT_USE: f64 = 0.8;
/// Part of the calls that a cut may leave at most to say anything.
const MAX_REST: f64 = 0.9;
/// Windows after which a cut is judged.
const TRIAL_WINDOWS: u32 = 2;
/// Part of the expected relief without which a cut has failed.
const RELIEF_SHARE: f64 = 0.6;
/// Part beyond which the target has healed meanwhile.
const HEALED_RELIEF: f64 = 1.5;
/// Part without which a cut has failed after the first window.
const PLAIN_FAILURE: f64 = 0.3;

/// Limit by the gradient of in-service latency against its own floor.
///
/// A target may slow for a reason other than its own concurrency, such as a slow service further
/// down. Fewer calls at once would then only lose goodput. So a target that has run as many calls
/// at full speed before is held to be slowed from outside at first, and each cut is a trial: if
/// latency does not fall with it, the limit is restored.
#[derive(Clone, Debug)]
pub struct GradientLimit {
    slots: f64,
    limit: f64,
    growth: LimitGrowth,
    window: LatencyWindow,
    slow_windows: u32,
    /// Windows in a row in which the limit was in use and did not grow.
    held_windows: u32,
    /// Most calls at once that the target has run at full speed; zero if that is in doubt.
    proven: f64,
    trial: Option<CutTrial>,
    outside: ExternalSlowdown,
    careful_until: TimePoint,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LimitGrowth {
    /// Doubles with each window until a slowdown lasts or all slots are in use.
    Ramp,
    /// Grows by half the square root, and by one at least.
    Probe,
}

/// A cut that is not judged yet.
#[derive(Clone, Copy, Debug)]
struct CutTrial {
    /// Before the cut.
    limit: f64,
    before: WindowSummary,
    windows: u32,
    /// Sums over the windows since.
    in_flight: f64,
    slowdown: f64,
}

impl CutTrial {
    fn add(&mut self, summary: WindowSummary) {
        self.windows += 1;
        self.in_flight += summary.in_flight;
        self.slowdown += summary.slowdown;
    }

    fn slowdown_after(&self) -> f64 {
        self.slowdown / f64::from(self.windows)
    }

    /// Part of the relief that crowding would explain; `None` if there are hardly fewer calls.
    fn relief(&self) -> Option<f64> {
        let in_flight = self.in_flight / f64::from(self.windows);
        let rest = in_flight / self.before.in_flight;
        if rest > MAX_REST {
            return None;
        }
        let relief = 1.0 - self.slowdown_after() / self.before.slowdown;
        Some(relief / (1.0 - rest))
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

    fn weigh(&mut self, now: TimePoint, summary: WindowSummary) {
        let slowdown = self.outside.correct(now, summary.slowdown);
        if let Some(trial) = self.trial.take() {
            self.judge(now, trial, summary);
        } else if slowdown > tolerance(&summary) {
            self.slow_windows += 1;
            if self.slow_windows >= SLOW_WINDOWS {
                self.growth = LimitGrowth::Probe;
            }
            self.answer_slowdown(now, summary, slowdown);
        } else {
            self.slow_windows = 0;
            self.answer_speed(now, summary, slowdown);
        }
    }

    fn answer_speed(&mut self, now: TimePoint, summary: WindowSummary, slowdown: f64) {
        if summary.slowdown < GROWTH_BOUND {
            self.proven = self.proven.max(summary.in_flight);
        }
        let is_used = summary.in_flight >= self.limit * GROWTH_USE;
        if !is_used || summary.usage < WindowUse::Full {
            return;
        }
        self.held_windows += 1;
        let is_fast =
            self.growth == LimitGrowth::Ramp || slowdown < self.growth_bound(now, summary);
        if is_fast || self.held_windows >= HELD_WINDOWS {
            self.held_windows = 0;
            self.grow();
        }
    }

    fn growth_bound(&self, now: TimePoint, summary: WindowSummary) -> f64 {
        if now < self.careful_until {
            GROWTH_BOUND
        } else {
            GROWTH_BOUND + summary.deviation()
        }
    }

    fn answer_slowdown(&mut self, now: TimePoint, summary: WindowSummary, slowdown: f64) {
        let is_crowded = summary.usage >= WindowUse::Full && self.limit > 1.0;
        let is_outside = self.outside.is_open(now) && self.is_beyond_crowding(summary.slowdown);
        if !is_crowded || is_outside {
            self.outside.note(now, summary.slowdown);
            return;
        }
        let is_settled = self.outside.is_settled(now) && slowdown < PLAIN_SLOWDOWN;
        let is_measured = summary.in_flight >= self.limit * CUT_USE;
        if self.slow_windows >= SLOW_WINDOWS && is_measured && !is_settled {
            self.cut(now, summary, slowdown);
        }
    }

    /// Calls that share a target slow it in proportion to their number, or little more.
    fn is_beyond_crowding(&self, slowdown: f64) -> bool {
        slowdown * self.proven > PLAIN_SLOWDOWN * self.limit
    }

    fn cut(&mut self, now: TimePoint, summary: WindowSummary, slowdown: f64) {
        let rest = (1.0 / slowdown).max(SMALLEST_REST);
        self.trial = Some(CutTrial {
            limit: self.limit,
            before: summary,
            windows: 0,
            in_flight: 0.0,
            slowdown: 0.0,
        });
        self.limit = (self.limit * rest).max(1.0);
        self.window.open(now);
    }

    /// Latency that follows concurrency falls with the cut. What is not plain after one window is
    /// decided on two.
    fn judge(&mut self, now: TimePoint, mut trial: CutTrial, summary: WindowSummary) {
        trial.add(summary);
        let Some(relief) = trial.relief() else {
            return;
        };
        let is_last = trial.windows >= TRIAL_WINDOWS;
        if relief > HEALED_RELIEF {
            self.limit = trial.limit.min(self.slots);
        } else if relief < PLAIN_FAILURE || is_last && relief < RELIEF_SHARE {
            self.limit = trial.limit.min(self.slots);
            self.outside.note(now, trial.slowdown_after());
        } else if !is_last && summary.slowdown > tolerance(&summary) {
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

/// Slowdown that counts as too many calls.
fn tolerance(summary: &WindowSummary) -> f64 {
    GROWTH_BOUND + TOLERATED_DEVIATIONS * summary.deviation()
}

impl ConcurrencyLimit for GradientLimit {
    fn new(now: TimePoint, slots: u32) -> Self {
        let slots = f64::from(slots.max(1));
        let limit = (slots / COLD_SHARE).max(COLD_LIMIT).min(slots);
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
            held_windows: 0,
            proven: 0.0,
            trial: None,
            outside: ExternalSlowdown::default(),
            careful_until: now,
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
            self.careful_until = now + REPORT_EXPIRY;
        }
    }

    fn tick(&mut self, now: TimePoint, usage: LimitUse) {
        self.window.note_use(usage, self.limit());
        if let Some(summary) = self.window.close(now, self.limit(), self.window_samples()) {
            self.weigh(now, summary);
        }
    }
}
