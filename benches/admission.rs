//! Time of the admission decisions, per call.

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

/// Slots of the widest targets of today.
const SLOTS: u32 = 130;
const SEED: u64 = 1;
const CLASSES: u8 = 8;
const SERVICES: usize = 71;
const CALL: Duration = Duration::from_micros(100);

fn settings() -> GuardSettings {
    GuardSettings::new(SLOTS, &OverloadPolicy::default())
}

fn request(now: TimePoint, number: u64) -> AdmissionRequest {
    let rank = number.to_le_bytes()[0] % CLASSES;
    AdmissionRequest {
        priority: CallPriority::new(rank, RequestId::from_u128(number.into())),
        depth: 1,
        deadline: now + Duration::from_secs(3_600),
    }
}

/// A guard with all slots and its queue in use.
fn full_guard(now: TimePoint, rng: &mut SmallRng) -> AdmissionGuard<StaticLimit> {
    let mut guard = AdmissionGuard::new(settings(), now);
    let capacity = SLOTS + GuardSettings::queue_capacity_of(SLOTS);
    for number in 0..u64::from(capacity) {
        guard.offer(now, request(now, number), rng);
    }
    guard
}

fn admit(criterion: &mut Criterion) {
    let mut rng = SmallRng::seed_from_u64(SEED);
    let mut now = TimePoint::ORIGIN;
    let mut guard = AdmissionGuard::<GradientLimit>::new(settings(), now);
    let mut number = 0;
    criterion.bench_function("admit and finish, free slots", |bencher| {
        bencher.iter(|| {
            number += 1;
            now = now + CALL;
            let verdict = guard.offer(now, request(now, number), &mut rng);
            if let AdmissionDecision::Start(key) = verdict {
                guard.finish(now, key, CompletionKind::Success, &mut rng);
            }
        });
    });
}

fn admit_under_pressure(criterion: &mut Criterion) {
    let mut rng = SmallRng::seed_from_u64(SEED);
    let now = TimePoint::ORIGIN;
    let mut guard = full_guard(now, &mut rng);
    let mut number = 0;
    criterion.bench_function("offer to a full queue of 520", |bencher| {
        bencher.iter(|| {
            number += 1;
            let verdict = guard.offer(now, request(now, number), &mut rng);
            while guard.next_effect().is_some() {}
            black_box(verdict)
        });
    });
}

fn tick(criterion: &mut Criterion) {
    let mut rng = SmallRng::seed_from_u64(SEED);
    let now = TimePoint::ORIGIN;
    let mut idle = AdmissionGuard::<GradientLimit>::new(settings(), now);
    criterion.bench_function("tick, idle", |bencher| {
        bencher.iter(|| idle.tick(now, &mut rng));
    });
    let full = full_guard(now, &mut rng);
    criterion.bench_function("tick, full queue of 520", |bencher| {
        bencher.iter_batched_ref(
            || full.clone(),
            |guard| guard.tick(now + CALL, &mut rng),
            BatchSize::SmallInput,
        );
    });
}

fn gate(criterion: &mut Criterion) {
    let now = TimePoint::ORIGIN;
    let class = ClassName::new("browse").expect("a valid name");
    let services: Vec<ServiceName> = (0..SERVICES)
        .map(|number| ServiceName::new(&format!("service-{number}")).expect("a valid name"))
        .collect();
    let mut gate = ThresholdCache::default();
    for service in &services {
        gate.record(now, service, &class, CallPriority::HIGHEST);
    }
    let service = &services[SERVICES / 2];
    criterion.bench_function("gate, 71 services", |bencher| {
        bencher.iter(|| gate.is_admitted(now, service, &class, black_box(CallPriority::LOWEST)));
    });
}

criterion_group!(benches, admit, admit_under_pressure, tick, gate);
criterion_main!(benches);
