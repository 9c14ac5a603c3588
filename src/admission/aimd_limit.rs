use {
    super::{ConcurrencyLimit, LimitUse, LoadReport, ServiceSample, latency_window::LatencyWindow},
    crate::time::TimePoint,
};

/// Slowdown against the floor that counts as loss.
const TOLERANCE: f64 = 1.5;
/// Part of the limit that one loss leaves.
const DECREASE: f64 = 0.8;

/// Additive increase, multiplicative decrease by latency.
#[derive(Clone, Debug)]
pub struct AimdLimit {
    slots: f64,
    limit: f64,
    window: LatencyWindow,
}

impl ConcurrencyLimit for AimdLimit {
    fn new(now: TimePoint, slots: u32) -> Self {
        Self {
            slots: f64::from(slots.max(1)),
            limit: 1.0,
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

    fn tick(&mut self, now: TimePoint, usage: LimitUse) {
        if usage.queued > 0 || usage.in_flight >= self.limit() {
            self.window.note_saturated();
        }
        let Some(summary) = self.window.close(now) else {
            return;
        };
        if summary.slowdown > TOLERANCE {
            self.limit = (self.limit * DECREASE).max(1.0);
        } else if summary.is_saturated {
            self.limit = (self.limit + 1.0).min(self.slots);
        }
    }
}
