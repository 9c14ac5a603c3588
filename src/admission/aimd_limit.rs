use {
    super::{
        ConcurrencyLimit, LimitUsage, LoadReport, ServiceSample,
        latency_window::{LatencyWindow, WindowUsage},
    },
    crate::time::TimePoint,
};

/// The initial limit is the announced slots divided by this number.
const INITIAL_SLOTS_DIVISOR: f64 = 4.0;
/// Ratio of latency to its baseline above which the limit decreases.
const MAX_SLOWDOWN: f64 = 1.5;
/// Samples after which a window closes.
const WINDOW_SAMPLES: u32 = 32;
/// Factor by which one decrease multiplies the limit.
const DECREASE_FACTOR: f64 = 0.8;

/// Limit with additive increase and multiplicative decrease (AIMD) by latency.
#[derive(Clone, Debug)]
pub struct AimdLimit {
    slots: f64,
    limit: f64,
    window: LatencyWindow,
}

impl ConcurrencyLimit for AimdLimit {
    fn new(now: TimePoint, slots: u32) -> Self {
        let slots = f64::from(slots.max(1));
        Self {
            slots,
            limit: (slots / INITIAL_SLOTS_DIVISOR).max(1.0),
            window: LatencyWindow::new(now),
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

    fn report_load(&mut self, _: TimePoint, _: LoadReport) {}

    fn tick(&mut self, now: TimePoint, usage: LimitUsage) {
        self.window.record_usage(usage, self.limit());
        let Some(summary) = self.window.close(now, self.limit(), WINDOW_SAMPLES) else {
            return;
        };
        if summary.slowdown > MAX_SLOWDOWN {
            self.limit = (self.limit * DECREASE_FACTOR).max(1.0);
        } else if summary.usage >= WindowUsage::Full {
            self.limit = (self.limit + 1.0).min(self.slots);
        }
    }
}
