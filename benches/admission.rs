//! Benchmarks of the admission decisions for one call.

use {
    banyantrestle::{
        admission::{
            AdmissionDecision, AdmissionGuard, AdmissionRequest, CompletionKind, GradientLimit,
            GuardSettings, StaticLimit, ThresholdCache,
        },
        context::{CallPriority, ClassName, RequestId, ServiceName},
        policy::OverloadPolicy,
        time::TimePoint,
    },
    criterion::{BatchSize, Criterion, criterion_group, criterion_main},
    rand::{SeedableRng, rngs::SmallRng},
    std::{hint::black_box, time::Duration},
};

/// Slots of the largest targets of the current deployments.
const SLOTS: u32 = 130;
const RNG_SEED: u64 = 1;
const CLASS_COUNT: u8 = 8;
const SERVICE_COUNT: usize = 71;
/// Time between two calls.
const CALL_INTERVAL: Duration = Duration::from_micros(100);

fn settings() -> GuardSettings {
    GuardSettings::new(SLOTS, &OverloadPolicy::default())
}

fn request(now: TimePoint, number: u64) -> AdmissionRequest {
    let rank = number.to_le_bytes()[0] % CLASS_COUNT;
    AdmissionRequest {
        priority: CallPriority::new(rank, RequestId::from_u128(number.into())),
        depth: 1,
        deadline: now + Duration::from_secs(3_600),
    }
}

/// Returns a guard whose slots and queue are full.
fn full_guard(now: TimePoint, rng: &mut SmallRng) -> AdmissionGuard<StaticLimit> {
    let mut guard = AdmissionGuard::new(settings(), now);
    let capacity = SLOTS + GuardSettings::queue_capacity_of(SLOTS);
    for number in 0..u64::from(capacity) {
        guard.offer(now, request(now, number), rng);
    }
    guard
}

fn admit_and_finish(criterion: &mut Criterion) {
    let mut rng = SmallRng::seed_from_u64(RNG_SEED);
    let mut now = TimePoint::ORIGIN;
    let mut guard = AdmissionGuard::<GradientLimit>::new(settings(), now);
    let mut number = 0;
    criterion.bench_function("admit and finish, free slots", |bencher| {
        bencher.iter(|| {
            number += 1;
            now = now + CALL_INTERVAL;
            let decision = guard.offer(now, request(now, number), &mut rng);
            if let AdmissionDecision::Start(key) = decision {
                guard.finish(now, key, CompletionKind::Success, &mut rng);
            }
        });
    });
}

fn offer_to_full_queue(criterion: &mut Criterion) {
    let mut rng = SmallRng::seed_from_u64(RNG_SEED);
    let now = TimePoint::ORIGIN;
    let mut guard = full_guard(now, &mut rng);
    let mut number = 0;
    criterion.bench_function("offer to a full queue of 520", |bencher| {
        bencher.iter(|| {
            number += 1;
            let decision = guard.offer(now, request(now, number), &mut rng);
            while guard.next_effect().is_some() {}
            black_box(decision)
        });
    });
}

fn tick(criterion: &mut Criterion) {
    let mut rng = SmallRng::seed_from_u64(RNG_SEED);
    let now = TimePoint::ORIGIN;
    let mut idle = AdmissionGuard::<GradientLimit>::new(settings(), now);
    criterion.bench_function("tick, idle", |bencher| {
        bencher.iter(|| idle.tick(now, &mut rng));
    });
    let full = full_guard(now, &mut rng);
    criterion.bench_function("tick, full queue of 520", |bencher| {
        bencher.iter_batched_ref(
            || full.clone(),
            |guard| guard.tick(now + CALL_INTERVAL, &mut rng),
            BatchSize::SmallInput,
        );
    });
}

fn check_threshold(criterion: &mut Criterion) {
    let now = TimePoint::ORIGIN;
    let class = ClassName::new("browse").expect("a valid name");
    let services: Vec<ServiceName> = (0..SERVICE_COUNT)
        .map(|number| ServiceName::new(&format!("service-{number}")).expect("a valid name"))
        .collect();
    let mut cache = ThresholdCache::default();
    for service in &services {
        cache.record(now, service, &class, CallPriority::HIGHEST);
    }
    let service = &services[SERVICE_COUNT / 2];
    criterion.bench_function("gate, 71 services", |bencher| {
        bencher.iter(|| cache.is_admitted(now, service, &class, black_box(CallPriority::LOWEST)));
    });
}

criterion_group!(
    benches,
    admit_and_finish,
    offer_to_full_queue,
    tick,
    check_threshold
);
criterion_main!(benches);
