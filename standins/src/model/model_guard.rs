use {
    banyantrestle::{
        admission::{
            AdmissionDecision, AdmissionGuard, AdmissionQueue, AdmissionRequest, CompletionKind,
            ConcurrencyLimit, GuardEffect, GuardLoad, LoadReport, TicketKey,
        },
        time::TimePoint,
    },
    rand::Rng,
};

/// Interface of a guard that a [`ModelRun`](super::ModelRun) drives.
pub trait ModelGuard {
    fn offer<R: Rng>(
        &mut self,
        now: TimePoint,
        request: AdmissionRequest,
        rng: &mut R,
    ) -> AdmissionDecision;

    fn finish<R: Rng>(&mut self, now: TimePoint, key: TicketKey, kind: CompletionKind, rng: &mut R);

    fn tick<R: Rng>(&mut self, now: TimePoint, rng: &mut R);

    fn report_load(&mut self, now: TimePoint, report: LoadReport);

    fn next_effect(&mut self) -> Option<GuardEffect>;

    fn load(&self) -> GuardLoad;
}

impl<L: ConcurrencyLimit, Q: AdmissionQueue> ModelGuard for AdmissionGuard<L, Q> {
    fn offer<R: Rng>(
        &mut self,
        now: TimePoint,
        request: AdmissionRequest,
        rng: &mut R,
    ) -> AdmissionDecision {
        AdmissionGuard::offer(self, now, request, rng)
    }

    fn finish<R: Rng>(
        &mut self,
        now: TimePoint,
        key: TicketKey,
        kind: CompletionKind,
        rng: &mut R,
    ) {
        AdmissionGuard::finish(self, now, key, kind, rng);
    }

    fn tick<R: Rng>(&mut self, now: TimePoint, rng: &mut R) {
        AdmissionGuard::tick(self, now, rng);
    }

    fn report_load(&mut self, now: TimePoint, report: LoadReport) {
        AdmissionGuard::report_load(self, now, report);
    }

    fn next_effect(&mut self) -> Option<GuardEffect> {
        AdmissionGuard::next_effect(self)
    }

    fn load(&self) -> GuardLoad {
        AdmissionGuard::load(self)
    }
}
