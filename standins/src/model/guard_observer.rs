use banyantrestle::{
    admission::{
        AdmissionDecision, AdmissionRequest, CompletionKind, GuardEffect, LoadReport, TicketKey,
    },
    time::TimePoint,
};

/// Observes the inputs of a guard and its decisions.
pub trait GuardObserver {
    fn offer(&mut self, now: TimePoint, request: &AdmissionRequest, decision: &AdmissionDecision);

    fn finish(&mut self, now: TimePoint, key: TicketKey, kind: CompletionKind);

    fn report_load(&mut self, now: TimePoint, report: LoadReport);

    fn tick(&mut self, now: TimePoint);

    /// Observes an effect of the preceding input.
    fn effect(&mut self, effect: &GuardEffect);
}

/// Ignores everything that it observes.
#[derive(Clone, Copy, Debug, Default)]
pub struct NullObserver;

impl GuardObserver for NullObserver {
    fn offer(&mut self, _: TimePoint, _: &AdmissionRequest, _: &AdmissionDecision) {}

    fn finish(&mut self, _: TimePoint, _: TicketKey, _: CompletionKind) {}

    fn report_load(&mut self, _: TimePoint, _: LoadReport) {}

    fn tick(&mut self, _: TimePoint) {}

    fn effect(&mut self, _: &GuardEffect) {}
}
