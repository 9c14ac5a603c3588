//! Admission decisions of a guard with a fixed limit, over its public interface.

use {
    banyantrestle::{
        admission::{
            AdmissionDecision, AdmissionGuard, AdmissionRequest, CompletionKind, DrainState,
            GuardEffect, GuardSettings, RefusalReason, StaticLimit, TicketKey,
        },
        context::{CallPriority, RequestId},
        policy::OverloadPolicy,
        time::TimePoint,
    },
    rand::{SeedableRng, rngs::SmallRng},
    std::time::Duration,
};

const SEED: u64 = 11;
const SLOTS: u32 = 2;
const BROWSE: u8 = 1;
const PURCHASE: u8 = 3;
const TICK: Duration = Duration::from_millis(10);
/// Required recovery time.
const MAX_RECOVERY: Duration = Duration::from_secs(2);

struct GuardFixture {
    guard: AdmissionGuard<StaticLimit>,
    rng: SmallRng,
    now: TimePoint,
    next_request: u128,
}

impl GuardFixture {
    fn new() -> Self {
        let settings = GuardSettings::new(SLOTS, &OverloadPolicy::default());
        Self {
            guard: AdmissionGuard::new(settings, TimePoint::ORIGIN),
            rng: SmallRng::seed_from_u64(SEED),
            now: TimePoint::ORIGIN,
            next_request: 0,
        }
    }

    fn advance(&mut self, duration: Duration) {
        self.now = self.now + duration;
    }

    fn request(&mut self, rank: u8) -> AdmissionRequest {
        self.next_request += 1;
        AdmissionRequest {
            priority: CallPriority::new(rank, RequestId::from_u128(self.next_request)),
            depth: 0,
            deadline: self.now + Duration::from_secs(10),
        }
    }

    fn offer_request(&mut self, request: AdmissionRequest) -> AdmissionDecision {
        self.guard.offer(self.now, request, &mut self.rng)
    }

    fn offer(&mut self, rank: u8) -> AdmissionDecision {
        let request = self.request(rank);
        self.offer_request(request)
    }

    fn start(&mut self, rank: u8) -> TicketKey {
        match self.offer(rank) {
            AdmissionDecision::Start(key) => key,
            other => panic!("not started: {other:?}"),
        }
    }

    fn queue(&mut self, request: AdmissionRequest) -> TicketKey {
        match self.offer_request(request) {
            AdmissionDecision::Queued(key) => key,
            other => panic!("not queued: {other:?}"),
        }
    }

    fn refuse(&mut self, request: AdmissionRequest) -> RefusalReason {
        match self.offer_request(request) {
            AdmissionDecision::Refused(refusal) => {
                assert!(refusal.retry_after > Duration::ZERO);
                refusal.reason
            }
            other => panic!("not refused: {other:?}"),
        }
    }

    fn finish(&mut self, key: TicketKey, kind: CompletionKind) {
        self.guard.finish(self.now, key, kind, &mut self.rng);
    }

    fn tick(&mut self) {
        self.advance(TICK);
        self.guard.tick(self.now, &mut self.rng);
    }

    fn effects(&mut self) -> Vec<GuardEffect> {
        std::iter::from_fn(|| self.guard.next_effect()).collect()
    }

    /// Makes `offers` new calls per tick and finishes each call one tick after its start.
    fn serve(&mut self, ticks: u32, running: &mut Vec<TicketKey>, offers: u32, rank: u8) {
        for _ in 0..ticks {
            for _ in 0..offers {
                if let AdmissionDecision::Start(key) = self.offer(rank) {
                    running.push(key);
                }
            }
            self.tick();
            for key in std::mem::take(running) {
                self.finish(key, CompletionKind::Success);
            }
            running.extend(
                self.effects()
                    .into_iter()
                    .filter_map(|effect| match effect {
                        GuardEffect::Start(key) => Some(key),
                        GuardEffect::Drop(..) => None,
                    }),
            );
        }
    }
}

#[test]
fn calls_start_by_class_then_depth_then_hash_then_arrival() {
    let mut fixture = GuardFixture::new();
    let running = fixture.start(BROWSE);
    fixture.start(BROWSE);
    let browse = fixture.request(BROWSE);
    let lower = CallPriority::from_u32(browse.priority.as_u32() - 1);
    assert_eq!(lower.rank(), BROWSE);
    let deep = AdmissionRequest {
        priority: lower,
        depth: 2,
        ..browse
    };
    let purchase = fixture.request(PURCHASE);
    let first = fixture.queue(browse);
    let second = fixture.queue(browse);
    let deeper = fixture.queue(deep);
    let highest = fixture.queue(purchase);
    let mut key = running;
    for expected in [highest, deeper, first, second] {
        fixture.finish(key, CompletionKind::Success);
        assert_eq!(fixture.effects(), [GuardEffect::Start(expected)]);
        key = expected;
    }
}

#[test]
fn a_full_queue_evicts_its_lowest_call_for_a_higher_one() {
    let mut fixture = GuardFixture::new();
    fixture.start(BROWSE);
    fixture.start(BROWSE);
    let capacity = GuardSettings::queue_capacity_of(SLOTS);
    let lowest = fixture.request(BROWSE);
    let request = fixture.request(2);
    let last = fixture.queue(lowest);
    for _ in 1..capacity {
        fixture.queue(request);
    }
    assert_eq!(fixture.refuse(lowest), RefusalReason::QueueFull);
    let purchase = fixture.request(PURCHASE);
    fixture.queue(purchase);
    let effects = fixture.effects();
    assert!(
        matches!(effects[..], [GuardEffect::Drop(key, refusal)]
            if key == last && refusal.reason == RefusalReason::QueueFull),
        "{effects:?}"
    );
}

#[test]
fn a_call_that_cannot_meet_its_deadline_is_refused() {
    let mut fixture = GuardFixture::new();
    for _ in 0..8 {
        let key = fixture.start(PURCHASE);
        fixture.advance(Duration::from_millis(100));
        fixture.finish(key, CompletionKind::Success);
    }
    let cases = [(0, true), (50, true), (200, false)];
    for (remaining_ms, is_refused) in cases {
        let request = AdmissionRequest {
            deadline: fixture.now + Duration::from_millis(remaining_ms),
            ..fixture.request(PURCHASE)
        };
        match fixture.offer_request(request) {
            AdmissionDecision::Refused(refusal) => {
                assert!(is_refused, "{remaining_ms} ms");
                assert_eq!(refusal.reason, RefusalReason::DeadlineTooNear);
            }
            AdmissionDecision::Start(key) => {
                assert!(!is_refused, "{remaining_ms} ms");
                fixture.finish(key, CompletionKind::Cancelled);
            }
            AdmissionDecision::Queued(_) => panic!("queued with a free slot"),
        }
    }
}

#[test]
fn a_service_time_estimate_decays_without_samples() {
    let mut fixture = GuardFixture::new();
    let key = fixture.start(PURCHASE);
    fixture.advance(Duration::from_secs(8));
    fixture.finish(key, CompletionKind::Success);
    let deadline = Duration::from_secs(1);
    let request = AdmissionRequest {
        deadline: fixture.now + deadline,
        ..fixture.request(PURCHASE)
    };
    assert_eq!(fixture.refuse(request), RefusalReason::DeadlineTooNear);
    fixture.advance(MAX_RECOVERY);
    let later = AdmissionRequest {
        deadline: fixture.now + deadline,
        ..request
    };
    assert!(matches!(
        fixture.offer_request(later),
        AdmissionDecision::Start(_)
    ));
}

#[test]
fn a_streamed_call_does_not_change_the_service_time_estimate() {
    let mut fixture = GuardFixture::new();
    let key = fixture.start(PURCHASE);
    fixture.advance(Duration::from_secs(8));
    fixture.finish(key, CompletionKind::Streamed);
    let request = AdmissionRequest {
        deadline: fixture.now + Duration::from_secs(1),
        ..fixture.request(PURCHASE)
    };
    let decision = fixture.offer_request(request);
    assert!(
        matches!(decision, AdmissionDecision::Start(_)),
        "{decision:?}"
    );
}

#[test]
fn a_queued_call_past_its_deadline_is_refused() {
    let mut fixture = GuardFixture::new();
    fixture.start(BROWSE);
    fixture.start(BROWSE);
    let request = AdmissionRequest {
        deadline: fixture.now + TICK / 2,
        ..fixture.request(PURCHASE)
    };
    let key = fixture.queue(request);
    fixture.tick();
    let effects = fixture.effects();
    assert!(
        matches!(effects[..], [GuardEffect::Drop(dropped, refusal)] if dropped == key
            && refusal.reason == RefusalReason::DeadlineTooNear
            && refusal.retry_after > Duration::ZERO),
        "{effects:?}"
    );
}

#[test]
fn the_queue_of_a_hanging_target_is_refused_well_before_the_deadline() {
    let mut fixture = GuardFixture::new();
    fixture.start(PURCHASE);
    fixture.start(PURCHASE);
    let request = fixture.request(PURCHASE);
    let key = fixture.queue(request);
    let mut effects = Vec::new();
    while effects.is_empty() && fixture.now < request.deadline {
        fixture.tick();
        effects = fixture.effects();
    }
    assert!(
        matches!(effects[..], [GuardEffect::Drop(dropped, refusal)] if dropped == key
            && refusal.reason == RefusalReason::Sojourn),
        "{effects:?}"
    );
    assert!(fixture.now + MAX_RECOVERY < request.deadline);
}

#[test]
fn a_cancelled_call_leaves_the_queue_and_has_no_effect() {
    let mut fixture = GuardFixture::new();
    let running = fixture.start(BROWSE);
    fixture.start(BROWSE);
    let request = fixture.request(PURCHASE);
    let key = fixture.queue(request);
    fixture.finish(key, CompletionKind::Cancelled);
    fixture.finish(running, CompletionKind::Success);
    assert_eq!(fixture.effects(), []);
    assert_eq!(fixture.guard.load().queued, 0);
}

#[test]
fn draining_refuses_new_calls_and_serves_queued_ones() {
    let mut fixture = GuardFixture::new();
    let running = fixture.start(BROWSE);
    fixture.start(BROWSE);
    let request = fixture.request(BROWSE);
    let queued = fixture.queue(request);
    fixture.guard.set_state(DrainState::Draining);
    let purchase = fixture.request(PURCHASE);
    assert_eq!(fixture.refuse(purchase), RefusalReason::Draining);
    fixture.finish(running, CompletionKind::Success);
    assert_eq!(fixture.effects(), [GuardEffect::Start(queued)]);
}

#[test]
fn overload_raises_the_threshold_and_recovery_resets_it_in_time() {
    let mut fixture = GuardFixture::new();
    let mut running = Vec::new();
    fixture.serve(200, &mut running, 10, BROWSE);
    let threshold = fixture.guard.load().threshold;
    assert!(threshold > CallPriority::LOWEST);
    assert!(threshold.rank() <= BROWSE, "a higher class is shed");
    let purchase = fixture.request(PURCHASE);
    assert!(!matches!(
        fixture.offer_request(purchase),
        AdmissionDecision::Refused(_)
    ));
    let below = AdmissionRequest {
        priority: CallPriority::LOWEST,
        ..fixture.request(BROWSE)
    };
    assert_eq!(fixture.refuse(below), RefusalReason::BelowThreshold);
    let ticks = u32::try_from(MAX_RECOVERY.as_millis() / TICK.as_millis()).expect("a small number");
    fixture.serve(ticks, &mut running, 0, BROWSE);
    assert_eq!(fixture.guard.load().threshold, CallPriority::LOWEST);
}

#[test]
fn a_deep_call_is_admitted_by_its_class_rank() {
    let mut fixture = GuardFixture::new();
    fixture.serve(200, &mut Vec::new(), 10, BROWSE);
    let threshold = fixture.guard.load().threshold;
    let below = CallPriority::from_u32(threshold.as_u32() - 1);
    assert_eq!(below.rank(), threshold.rank());
    let at_first_hop = AdmissionRequest {
        priority: below,
        ..fixture.request(BROWSE)
    };
    assert_eq!(fixture.refuse(at_first_hop), RefusalReason::BelowThreshold);
    let deep = AdmissionRequest {
        depth: 1,
        ..at_first_hop
    };
    assert!(!matches!(
        fixture.offer_request(deep),
        AdmissionDecision::Refused(_)
    ));
}
