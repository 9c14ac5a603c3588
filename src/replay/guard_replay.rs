use {
    super::{CallOutcome, GuardHeader, OfferedCall, TraceExpectation, call_history::CallHistory},
    crate::{
        admission::{
            AdmissionDecision, AdmissionGuard, CompletionKind, DrainState, GradientLimit,
            GuardEffect, GuardSettings, LoadReport,
        },
        policy::OverloadPolicy,
        time::TimePoint,
    },
    rand::{SeedableRng, rngs::SmallRng},
};

/// Seed of the random jitter; no decision depends on it.
const JITTER_SEED: u64 = 1;

/// Applies the events of a trace to one admission guard.
#[derive(Clone, Debug)]
pub(super) struct GuardReplay {
    guard: AdmissionGuard<GradientLimit>,
    rng: SmallRng,
    history: CallHistory,
    slots: u32,
    max_running: u32,
}

impl GuardReplay {
    pub(super) fn new(now: TimePoint, header: &GuardHeader<'_>) -> Self {
        let policy = OverloadPolicy {
            queue_target_ms: header.queue_target_ms,
            queue_interval_ms: header.queue_interval_ms,
        };
        Self {
            guard: AdmissionGuard::new(GuardSettings::new(header.slots, &policy), now),
            rng: SmallRng::seed_from_u64(JITTER_SEED),
            history: CallHistory::default(),
            slots: header.slots,
            max_running: 0,
        }
    }

    /// Offers a call to the guard; `None` if its number is already in use.
    pub(super) fn offer(
        &mut self,
        now: TimePoint,
        offered: &OfferedCall,
    ) -> Option<Vec<CallOutcome>> {
        if !self.history.record_offer(now, offered) {
            return None;
        }
        let call = offered.call;
        let decision = self.guard.offer(now, offered.request(), &mut self.rng);
        let outcome = match decision {
            AdmissionDecision::Start(key) => {
                self.history.assign_key(call, key);
                CallOutcome::Start(call)
            }
            AdmissionDecision::Queued(key) => {
                self.history.assign_key(call, key);
                CallOutcome::Queue(call)
            }
            AdmissionDecision::Refused(refusal) => CallOutcome::Refuse {
                call,
                reason: refusal.reason,
            },
        };
        self.history.record_outcome(now, outcome);
        let mut outcomes = vec![outcome];
        self.drain_effects(now, &mut outcomes);
        Some(outcomes)
    }

    /// Ends a call; `None` if the guard does not know it, or if it is not running and `kind` is not a
    /// cancellation.
    pub(super) fn finish(
        &mut self,
        now: TimePoint,
        call: u64,
        kind: CompletionKind,
    ) -> Option<Vec<CallOutcome>> {
        let can_finish = kind == CompletionKind::Cancelled || self.history.is_running(call);
        let key = self.history.ticket_key(call).filter(|_| can_finish)?;
        self.history.record_completion(now, call, kind);
        self.guard.finish(now, key, kind, &mut self.rng);
        Some(self.collect_outcomes(now))
    }

    pub(super) fn tick(&mut self, now: TimePoint) -> Vec<CallOutcome> {
        self.guard.tick(now, &mut self.rng);
        self.collect_outcomes(now)
    }

    pub(super) fn set_slots(&mut self, now: TimePoint, slots: u32) {
        self.slots = slots;
        self.guard.set_slots(now, slots);
    }

    pub(super) fn report_load(&mut self, now: TimePoint, report: LoadReport) {
        self.guard.report_load(now, report);
    }

    pub(super) fn set_state(&mut self, state: DrainState) {
        self.guard.set_state(state);
    }

    /// Describes the actual value if it violates the expectation; `None` if the expectation holds.
    pub(super) fn deviation(
        &self,
        now: TimePoint,
        expectation: &TraceExpectation,
    ) -> Option<String> {
        match *expectation {
            TraceExpectation::Served {
                rank,
                since_us,
                least_percent,
            } => {
                let since = TimePoint::from_micros(since_us);
                let percent = self.history.served_percent(rank, since);
                (percent < f64::from(least_percent)).then(|| format!("{percent:.1} % served"))
            }
            TraceExpectation::Refused { since_us, most } => {
                let refused = self.history.refused_count(TimePoint::from_micros(since_us));
                (refused > most).then(|| format!("{refused} refused"))
            }
            TraceExpectation::Busy {
                since_us,
                least_percent,
            } => {
                let percent = self.busy_percent(TimePoint::from_micros(since_us), now);
                (percent < f64::from(least_percent)).then(|| format!("{percent:.1} % busy"))
            }
            TraceExpectation::Threshold { most } => {
                let threshold = self.guard.load().threshold.as_u32();
                (threshold > most).then(|| format!("threshold {threshold}"))
            }
            TraceExpectation::Running { most } => {
                let running = self.max_running;
                (running > most).then(|| format!("{running} running"))
            }
        }
    }

    fn busy_percent(&self, since: TimePoint, now: TimePoint) -> f64 {
        let capacity_seconds = now.since(since).as_secs_f64() * f64::from(self.slots);
        100.0 * self.history.busy_time(since, now).as_secs_f64() / capacity_seconds
    }

    fn collect_outcomes(&mut self, now: TimePoint) -> Vec<CallOutcome> {
        let mut outcomes = Vec::new();
        self.drain_effects(now, &mut outcomes);
        outcomes
    }

    fn drain_effects(&mut self, now: TimePoint, outcomes: &mut Vec<CallOutcome>) {
        while let Some(effect) = self.guard.next_effect() {
            let outcome = match effect {
                GuardEffect::Start(key) => self.history.call_number(key).map(CallOutcome::Start),
                GuardEffect::Drop(key, refusal) => {
                    self.history
                        .call_number(key)
                        .map(|call| CallOutcome::Refuse {
                            call,
                            reason: refusal.reason,
                        })
                }
            };
            if let Some(outcome) = outcome {
                self.history.record_outcome(now, outcome);
                outcomes.push(outcome);
            }
        }
        self.max_running = self.max_running.max(self.guard.load().in_flight);
    }
}
