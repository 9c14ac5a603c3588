//! Refusal of calls by cached thresholds of downstream services.

use {
    banyantrestle::{
        admission::{RefusalReason, ThresholdCache},
        context::{CallPriority, ClassName, ServiceName},
        time::TimePoint,
    },
    rand::{SeedableRng, rngs::SmallRng},
    std::time::Duration,
};

const CALLS: u32 = 1_000;
const RESPONSES: u32 = 20;
/// Required recovery time.
const MAX_RECOVERY: Duration = Duration::from_secs(2);

struct CacheFixture {
    cache: ThresholdCache,
    service: ServiceName,
    class: ClassName,
}

impl CacheFixture {
    fn new() -> Self {
        Self {
            cache: ThresholdCache::default(),
            service: ServiceName::new("catalogue").expect("a valid name"),
            class: ClassName::new("browse").expect("a valid name"),
        }
    }

    fn record(&mut self, now: TimePoint, threshold: CallPriority) {
        for _ in 0..RESPONSES {
            self.cache
                .record(now, &self.service, &self.class, threshold);
        }
    }

    fn admitted(&mut self, now: TimePoint, priority: CallPriority) -> u32 {
        let is_admitted = |_: &u32| {
            self.cache
                .is_admitted(now, &self.service, &self.class, priority)
        };
        let count = (0..CALLS).filter(is_admitted).count();
        u32::try_from(count).expect("a small number")
    }
}

fn priority(rank: u32, hash: u32) -> CallPriority {
    CallPriority::from_u32(rank << 16 | hash)
}

#[test]
fn calls_below_the_threshold_are_refused_except_for_a_few_probes() {
    let mut fixture = CacheFixture::new();
    let now = TimePoint::from_millis(5);
    assert_eq!(fixture.admitted(now, CallPriority::LOWEST), CALLS);
    fixture.record(now, priority(2, 0));
    assert_eq!(fixture.admitted(now, priority(2, 0)), CALLS);
    let probes = fixture.admitted(now, priority(1, 0xffff / 2));
    assert!((1..CALLS / 10).contains(&probes), "{probes} probes");
}

#[test]
fn a_threshold_applies_to_its_service_and_class_only() {
    let mut fixture = CacheFixture::new();
    let now = TimePoint::from_millis(5);
    fixture.record(now, CallPriority::HIGHEST);
    let service = ServiceName::new("billing").expect("a valid name");
    let class = ClassName::new("purchase").expect("a valid name");
    let lowest = CallPriority::LOWEST;
    let cache = &mut fixture.cache;
    assert!(cache.is_admitted(now, &service, &fixture.class, lowest));
    assert!(cache.is_admitted(now, &fixture.service, &class, lowest));
    assert!(!cache.is_admitted(now, &fixture.service, &fixture.class, lowest));
}

#[test]
fn an_unconfirmed_threshold_decays_in_time() {
    let mut fixture = CacheFixture::new();
    let now = TimePoint::from_millis(5);
    fixture.record(now, CallPriority::HIGHEST);
    let later = now + MAX_RECOVERY;
    assert_eq!(fixture.admitted(later, CallPriority::LOWEST), CALLS);
    fixture.cache.tick(later);
    fixture.record(later, priority(1, 0));
    assert!(fixture.admitted(later, CallPriority::LOWEST) < CALLS / 10);
}

#[test]
fn responses_without_overload_lower_the_threshold_at_once() {
    let mut fixture = CacheFixture::new();
    let now = TimePoint::from_millis(5);
    fixture.record(now, CallPriority::HIGHEST);
    fixture.record(now, CallPriority::LOWEST);
    assert_eq!(fixture.admitted(now, priority(1, 0)), CALLS);
}

#[test]
fn a_refusal_contains_a_jittered_retry_delay() {
    let fixture = CacheFixture::new();
    let mut rng = SmallRng::seed_from_u64(3);
    let refusals: Vec<_> = (0..64).map(|_| fixture.cache.refusal(&mut rng)).collect();
    let has_retry_delay = |refusal: &banyantrestle::admission::AdmissionRefusal| {
        refusal.reason == RefusalReason::DownstreamThreshold && refusal.retry_after > Duration::ZERO
    };
    assert!(refusals.iter().all(has_retry_delay));
    let first = refusals[0].retry_after;
    assert!(refusals.iter().any(|refusal| refusal.retry_after != first));
}
