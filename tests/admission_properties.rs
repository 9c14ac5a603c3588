//! Invariants of a guard under arbitrary sequences of calls, reports and ticks.

use {
    banyantrestle::{
        admission::{
            AdmissionDecision, AdmissionGuard, AdmissionRequest, CallOrder, CompletionKind,
            GradientLimit, GuardEffect, GuardSettings, LoadReport, TicketKey,
        },
        context::CallPriority,
        policy::OverloadPolicy,
        time::TimePoint,
    },
    proptest::{collection::vec, prelude::*, test_runner::RngSeed},
    rand::{SeedableRng, rngs::SmallRng},
    std::{collections::HashMap, time::Duration},
};

const SEED: u64 = 5;
const MAX_RANK: u32 = 3;
/// Required recovery time.
const MAX_RECOVERY: Duration = Duration::from_secs(2);
const TICK: Duration = Duration::from_millis(10);

#[derive(Clone, Copy, Debug)]
enum GuardStep {
    Offer {
        priority: u32,
        depth: u8,
        remaining_ms: u64,
    },
    /// Ends one of the queued or running calls.
    Finish {
        index: usize,
        kind: CompletionKind,
    },
    Slots {
        slots: u32,
    },
    Load {
        percent: u32,
    },
    Wait {
        ms: u64,
    },
    Tick,
}

fn kind() -> impl Strategy<Value = CompletionKind> {
    prop_oneof![
        4 => Just(CompletionKind::Success),
        1 => Just(CompletionKind::Failure),
        1 => Just(CompletionKind::Cancelled),
    ]
}

fn step() -> impl Strategy<Value = GuardStep> {
    let priority = 0..(MAX_RANK + 1) << 16;
    prop_oneof![
        8 => (priority, 0_u8..4, 0_u64..3_000)
            .prop_map(|(priority, depth, remaining_ms)| GuardStep::Offer { priority, depth, remaining_ms }),
        6 => (0_usize..64, kind()).prop_map(|(index, kind)| GuardStep::Finish { index, kind }),
        1 => (0_u32..8).prop_map(|slots| GuardStep::Slots { slots }),
        1 => (0_u32..300).prop_map(|percent| GuardStep::Load { percent }),
        4 => (0_u64..60).prop_map(|ms| GuardStep::Wait { ms }),
        6 => Just(GuardStep::Tick),
    ]
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TrackedState {
    Queued,
    Running,
}

#[derive(Clone, Copy, Debug)]
struct TrackedCall {
    request: AdmissionRequest,
    state: TrackedState,
}

struct GuardChecker {
    guard: AdmissionGuard<GradientLimit>,
    rng: SmallRng,
    now: TimePoint,
    slots: u32,
    calls: HashMap<TicketKey, TrackedCall>,
    /// Keys in the order of the offers.
    keys: Vec<TicketKey>,
}

impl GuardChecker {
    fn new(slots: u32) -> Self {
        let settings = GuardSettings::new(slots, &OverloadPolicy::default());
        Self {
            guard: AdmissionGuard::new(settings, TimePoint::ORIGIN),
            rng: SmallRng::seed_from_u64(SEED),
            now: TimePoint::ORIGIN,
            slots,
            calls: HashMap::new(),
            keys: Vec::new(),
        }
    }

    fn step(&mut self, step: GuardStep) {
        match step {
            GuardStep::Offer {
                priority,
                depth,
                remaining_ms,
            } => {
                let request = AdmissionRequest {
                    priority: CallPriority::from_u32(priority),
                    depth,
                    deadline: self.now + Duration::from_millis(remaining_ms),
                };
                self.offer(request);
            }
            GuardStep::Finish { index, kind } => self.finish(index, kind),
            GuardStep::Slots { slots } => {
                self.slots = slots.max(1);
                self.guard.set_slots(self.now, slots);
            }
            GuardStep::Load { percent } => {
                let limit = self.guard.load().limit;
                let report = LoadReport {
                    utilization_percent: percent,
                };
                self.guard.report_load(self.now, report);
                assert!(
                    self.guard.load().limit <= limit,
                    "a report raised the limit"
                );
            }
            GuardStep::Wait { ms } => self.now = self.now + Duration::from_millis(ms),
            GuardStep::Tick => {
                self.now = self.now + TICK;
                self.guard.tick(self.now, &mut self.rng);
            }
        }
        self.apply_effects();
        self.check_counts();
    }

    fn offer(&mut self, request: AdmissionRequest) {
        match self.guard.offer(self.now, request, &mut self.rng) {
            AdmissionDecision::Start(key) => {
                self.check_limit();
                self.add(key, request, TrackedState::Running);
            }
            AdmissionDecision::Queued(key) => {
                // Removes an evicted call before the guard can reuse its key.
                self.apply_effects();
                self.add(key, request, TrackedState::Queued);
            }
            AdmissionDecision::Refused(refusal) => assert!(refusal.retry_after > Duration::ZERO),
        }
    }

    fn add(&mut self, key: TicketKey, request: AdmissionRequest, state: TrackedState) {
        let before = self.calls.insert(key, TrackedCall { request, state });
        assert!(before.is_none(), "a ticket was used twice");
        self.keys.push(key);
    }

    fn finish(&mut self, index: usize, kind: CompletionKind) {
        if self.keys.is_empty() {
            return;
        }
        let key = self.keys.remove(index % self.keys.len());
        self.calls.remove(&key);
        self.guard.finish(self.now, key, kind, &mut self.rng);
    }

    /// Applies all pending effects and checks that each is for a queued call, so that no call gets
    /// two.
    fn apply_effects(&mut self) {
        while let Some(effect) = self.guard.next_effect() {
            match effect {
                GuardEffect::Start(key) => {
                    let call = self.calls.get_mut(&key).expect("a known ticket");
                    assert_eq!(call.state, TrackedState::Queued, "started twice");
                    call.state = TrackedState::Running;
                    let order = CallOrder::of(&call.request);
                    self.check_order(order);
                    self.check_limit();
                }
                GuardEffect::Drop(key, refusal) => {
                    let call = self.calls.remove(&key).expect("a known ticket");
                    assert_eq!(call.state, TrackedState::Queued, "dropped after its start");
                    assert!(refusal.retry_after > Duration::ZERO);
                    self.keys.retain(|known| *known != key);
                }
            }
        }
    }

    /// No call of a higher order that can still meet its deadline waits while a lower one starts.
    fn check_order(&self, started: CallOrder) {
        let is_overtaken = self.calls.values().any(|call| {
            call.state == TrackedState::Queued
                && CallOrder::of(&call.request) > started
                && call.request.deadline > self.now
        });
        assert!(!is_overtaken, "a call of a higher order is still queued");
    }

    fn check_limit(&self) {
        let load = self.guard.load();
        assert!(
            load.in_flight <= load.limit,
            "started beyond the limit: {load:?}"
        );
    }

    fn check_counts(&self) {
        let load = self.guard.load();
        let count = |state| {
            self.calls
                .values()
                .filter(|call| call.state == state)
                .count()
        };
        assert_eq!(load.in_flight as usize, count(TrackedState::Running));
        assert_eq!(load.queued as usize, count(TrackedState::Queued));
        assert!(load.limit >= 1 && load.limit <= self.slots);
        assert!(
            load.queued == 0 || load.in_flight >= load.limit,
            "calls are queued while a slot is free"
        );
    }

    fn finish_all(&mut self) {
        while !self.keys.is_empty() {
            self.finish(0, CompletionKind::Success);
            self.apply_effects();
        }
        let end = self.now + MAX_RECOVERY;
        while self.now < end {
            self.step(GuardStep::Tick);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    #[test]
    fn a_guard_respects_limit_and_order_and_gives_each_ticket_one_effect(
        slots in 1_u32..8,
        steps in vec(step(), 0..400),
    ) {
        let mut checker = GuardChecker::new(slots);
        for step in steps {
            checker.step(step);
        }
        checker.finish_all();
        let load = checker.guard.load();
        prop_assert_eq!(load.threshold, CallPriority::LOWEST);
        prop_assert_eq!((load.in_flight, load.queued), (0, 0));
    }
}
