//! Admission decisions of a guard, over its public interface.

use {
    banyantrestle::{
        admission::{
            AdmissionGuard, AdmissionRequest, AdmissionVerdict, CompletionKind, GuardEffect,
            GuardSettings, RefusalReason, StaticLimit, TicketKey,
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

struct GuardFixture {
    guard: AdmissionGuard<StaticLimit>,
    rng: SmallRng,
}

impl GuardFixture {
    fn new() -> Self {
        let settings = GuardSettings::new(SLOTS, &OverloadPolicy::default());
        Self {
            guard: AdmissionGuard::new(settings, TimePoint::ORIGIN),
            rng: SmallRng::seed_from_u64(SEED),
        }
    }

    fn offer(&mut self, now: TimePoint, rank: u8) -> AdmissionVerdict {
        self.offer_until(now, rank, now + Duration::from_secs(10))
    }

    fn offer_until(&mut self, now: TimePoint, rank: u8, deadline: TimePoint) -> AdmissionVerdict {
        let request = AdmissionRequest {
            priority: CallPriority::new(rank, RequestId::from_u128(7)),
            depth: 0,
            deadline,
        };
        self.guard.offer(now, request, &mut self.rng)
    }

    fn start(&mut self, now: TimePoint, rank: u8) -> TicketKey {
        match self.offer(now, rank) {
            AdmissionVerdict::Start(key) => key,
            other => panic!("not started: {other:?}"),
        }
    }

    fn queue(&mut self, now: TimePoint, rank: u8) -> TicketKey {
        match self.offer(now, rank) {
            AdmissionVerdict::Queued(key) => key,
            other => panic!("not queued: {other:?}"),
        }
    }

    fn finish(&mut self, now: TimePoint, key: TicketKey) {
        let rng = &mut self.rng;
        self.guard.finish(now, key, CompletionKind::Success, rng);
    }
}

#[test]
fn the_higher_class_starts_first() {
    let mut fixture = GuardFixture::new();
    let now = TimePoint::from_millis(1);
    let running = fixture.start(now, BROWSE);
    fixture.start(now, BROWSE);
    fixture.queue(now, BROWSE);
    let purchase = fixture.queue(now, PURCHASE);
    fixture.finish(now + Duration::from_millis(5), running);
    assert_eq!(
        fixture.guard.next_effect(),
        Some(GuardEffect::Start(purchase))
    );
    assert_eq!(fixture.guard.next_effect(), None);
}

#[test]
fn a_call_past_its_deadline_is_refused() {
    let mut fixture = GuardFixture::new();
    let now = TimePoint::from_millis(100);
    let verdict = fixture.offer_until(now, PURCHASE, TimePoint::from_millis(99));
    let AdmissionVerdict::Refused(refusal) = verdict else {
        panic!("not refused: {verdict:?}");
    };
    assert_eq!(refusal.reason, RefusalReason::DeadlineTooNear);
    assert!(refusal.retry_after > Duration::ZERO);
}
