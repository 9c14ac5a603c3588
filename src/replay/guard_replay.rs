use {
    super::{
        GuardHeader, OfferedCall, StatedExpectation, StatedOutcome, call_history::CallHistory,
    },
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

/// Seed of the jitter; no decision depends on it.
const JITTER_SEED: u64 = 1;

/// One guard under replay.
#[derive(Clone, Debug)]
pub(super) struct GuardReplay {
    guard: AdmissionGuard<GradientLimit>,
    rng: SmallRng,
    history: CallHistory,
    slots: u32,
    most_running: u32,
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
            most_running: 0,
        }
    }

    /// `None` if the number of the call was used before.
    pub(super) fn offer(
        &mut self,
        now: TimePoint,
        offered: &OfferedCall,
    ) -> Option<Vec<StatedOutcome>> {
        if !self.history.offer(now, offered) {
            return None;
        }
        let call = offered.call;
        let verdict = self.guard.offer(now, offered.request(), &mut self.rng);
        let outcome = match verdict {
            AdmissionDecision::Start(key) => {
                self.history.bind(call, key);
                StatedOutcome::Start(call)
            }
            AdmissionDecision::Queued(key) => {
                self.history.bind(call, key);
                StatedOutcome::Queue(call)
            }
            AdmissionDecision::Refused(refusal) => StatedOutcome::Refuse {
                call,
                reason: refusal.reason,
            },
        };
        self.history.decide(now, outcome);
        let mut outcomes = vec![outcome];
        self.pull(now, &mut outcomes);
        Some(outcomes)
    }

    /// A call that the trace ended well must be running here too; `None` if it is not.
    pub(super) fn finish(
        &mut self,
        now: TimePoint,
        call: u64,
        kind: CompletionKind,
    ) -> Option<Vec<StatedOutcome>> {
        let is_known = kind == CompletionKind::Cancelled || self.history.is_running(call);
        let key = self.history.key(call).filter(|_| is_known)?;
        self.history.finish(now, call, kind);
        self.guard.finish(now, key, kind, &mut self.rng);
        Some(self.effects(now))
    }

    pub(super) fn tick(&mut self, now: TimePoint) -> Vec<StatedOutcome> {
        self.guard.tick(now, &mut self.rng);
        self.effects(now)
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

    /// What is instead of what was expected; `None` if it holds.
    pub(super) fn deviation(
        &self,
        now: TimePoint,
        expectation: &StatedExpectation,
    ) -> Option<String> {
        match *expectation {
            StatedExpectation::Served {
                rank,
                since_us,
                least_percent,
            } => {
                let since = TimePoint::from_micros(since_us);
                let percent = self.history.served_percent(rank, since);
                (percent < f64::from(least_percent)).then(|| format!("{percent:.1} % served"))
            }
            StatedExpectation::Refused { since_us, most } => {
                let refused = self.history.refused(TimePoint::from_micros(since_us));
                (refused > most).then(|| format!("{refused} refused"))
            }
            StatedExpectation::Busy {
                since_us,
                least_percent,
            } => {
                let percent = self.busy_percent(TimePoint::from_micros(since_us), now);
                (percent < f64::from(least_percent)).then(|| format!("{percent:.1} % busy"))
            }
            StatedExpectation::Threshold { most } => {
                let threshold = self.guard.load().threshold.as_u32();
                (threshold > most).then(|| format!("threshold {threshold}"))
            }
            StatedExpectation::Running { most } => {
                let running = self.most_running;
                (running > most).then(|| format!("{running} running"))
            }
        }
    }

    fn busy_percent(&self, since: TimePoint, now: TimePoint) -> f64 {
        let possible = now.since(since).as_secs_f64() * f64::from(self.slots);
        100.0 * self.history.busy(since, now).as_secs_f64() / possible
    }

    fn effects(&mut self, now: TimePoint) -> Vec<StatedOutcome> {
        let mut outcomes = Vec::new();
        self.pull(now, &mut outcomes);
        outcomes
    }

    fn pull(&mut self, now: TimePoint, outcomes: &mut Vec<StatedOutcome>) {
        while let Some(effect) = self.guard.next_effect() {
            let outcome = match effect {
                GuardEffect::Start(key) => self.history.call(key).map(StatedOutcome::Start),
                GuardEffect::Drop(key, refusal) => {
                    self.history.call(key).map(|call| StatedOutcome::Refuse {
                        call,
                        reason: refusal.reason,
                    })
                }
            };
            if let Some(outcome) = outcome {
                self.history.decide(now, outcome);
                outcomes.push(outcome);
            }
        }
        self.most_running = self.most_running.max(self.guard.load().in_flight);
    }
}
