use {
    super::{ConcurrencyLimit, LimitUsage, LoadReport, ServiceSample},
    crate::time::TimePoint,
};

/// Limit that equals the announced slots.
#[derive(Clone, Copy, Debug)]
pub struct StaticLimit {
    slots: u32,
}

impl ConcurrencyLimit for StaticLimit {
    fn new(_: TimePoint, slots: u32) -> Self {
        Self {
            slots: slots.max(1),
        }
    }

    fn limit(&self) -> u32 {
        self.slots
    }

    fn set_slots(&mut self, _: TimePoint, slots: u32) {
        self.slots = slots.max(1);
    }

    fn observe(&mut self, _: &ServiceSample) {}

    fn report_load(&mut self, _: TimePoint, _: LoadReport) {}

    fn tick(&mut self, _: TimePoint, _: LimitUsage) {}
}
