use {
    super::{
        ConcurrencyLimit, LimitUse, LoadReport, ServiceSample, latency_window::LatencyWindow,
        latency_window::WindowSummary,
    },
    crate::time::TimePoint,
    std::time::Duration,
};

/// Share of the slots that a target starts with: 1 in so many.
const COLD_SHARE: f64 = 8.0;
/// Slowdown against the floor that counts as too many calls.
const TOLERANCE: f64 = 1.5;
/// The same while the target itself reports overload.
const CAREFUL_TOLERANCE: f64 = 1.25;
const OVERLOAD_PERCENT: u32 = 100;
/// Time for which a load report counts.
const REPORT_EXPIRY: Duration = Duration::from_secs(1);
/// Smallest part of the limit that one cut leaves.
const MAX_CUT: f64 = 0.5;

/// Limit by the gradient of in-service latency against its own floor.
///
/// A target may slow for a reason other than its own concurrency, such as a slow service further
/// down. Fewer calls at once would then only lose goodput. So each cut is a trial: if latency does
/// not fall with it, the limit is restored and the floor is raised to what was seen.
#[derive(Clone, Debug)]
pub struct GradientLimit {
    slots: f64,
    limit: f64,
    growth: LimitGrowth,
    window: LatencyWindow,
    trial: Option<CutTrial>,
    careful_until: TimePoint,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LimitGrowth {
    /// Doubles with each window until the first slowdown.
    Ramp,
    /// Grows by the square root.
    Probe,
}

#[derive(Clone, Copy, Debug)]
struct CutTrial {
    limit_before: f64,
    slowdown_before: f64,
    /// Part of the limit that was left.
    rest: f64,
}

impl GradientLimit {
    fn is_careful(&self, now: TimePoint) -> bool {
        now < self.careful_until
    }

    fn weigh(&mut self, now: TimePoint, summary: WindowSummary) {
        let tolerance = if self.is_careful(now) {
            CAREFUL_TOLERANCE
        } else {
            TOLERANCE
        };
        if let Some(trial) = self.trial.take() {
            self.end_trial(trial, summary);
        } else if summary.slowdown > tolerance {
            self.cut(now, summary);
        } else if summary.is_saturated {
            self.grow();
        }
    }

    fn cut(&mut self, now: TimePoint, summary: WindowSummary) {
        if !summary.is_saturated || self.limit <= 1.0 {
            self.window.raise_floors(summary.slowdown);
            return;
        }
        let rest = (1.0 / summary.slowdown).max(MAX_CUT);
        self.trial = Some(CutTrial {
            limit_before: self.limit,
            slowdown_before: summary.slowdown,
            rest,
        });
        self.growth = LimitGrowth::Probe;
        self.limit = (self.limit * rest).max(1.0);
        self.window.open(now);
    }

    /// Latency that follows concurrency falls with the cut; half of the way counts as following.
    fn end_trial(&mut self, trial: CutTrial, summary: WindowSummary) {
        let bound = trial.slowdown_before * f64::midpoint(1.0, trial.rest);
        if summary.slowdown > bound {
            self.limit = trial.limit_before.min(self.slots);
            self.window.raise_floors(summary.slowdown);
        }
    }

    fn grow(&mut self) {
        let step = match self.growth {
            LimitGrowth::Ramp => self.limit,
            LimitGrowth::Probe => self.limit.sqrt(),
        };
        self.limit = (self.limit + step).min(self.slots);
    }
}

impl ConcurrencyLimit for GradientLimit {
    fn new(now: TimePoint, slots: u32) -> Self {
        let slots = f64::from(slots.max(1));
        Self {
            slots,
            limit: (slots / COLD_SHARE).max(1.0),
            growth: LimitGrowth::Ramp,
            window: LatencyWindow::new(now),
            trial: None,
            careful_until: now,
        }
    }

    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn limit(&self) -> u32 {
        self.limit as u32
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
        if usage.queued > 0 || usage.in_flight >= self.limit() {
            self.window.note_saturated();
        }
        if let Some(summary) = self.window.close(now) {
            self.weigh(now, summary);
        }
    }
}
