//! Benchmarks of target selection and of the retry permits that the root of a call tree grants.

use {
    banyantrestle::{
        context::{CallPriority, RequestId, ServiceName},
        membership::{MemberId, MemberRecord, MemberState, TargetAnnouncement, TargetState},
        retry::{BudgetTable, RetryBudget},
        routing::{RouterLocation, RoutingDecision, TargetOutcome, TargetTable},
        time::TimePoint,
    },
    criterion::{Criterion, criterion_group, criterion_main},
    rand::{SeedableRng, rngs::SmallRng},
    std::{hint::black_box, net::SocketAddr},
};

const MEMBERS: u16 = 1_500;
const SERVICES: u16 = 71;
/// Requests with an open retry budget.
const OPEN_REQUESTS: u128 = 10_000;
/// Retry budget of one request.
const REQUEST_RETRIES: u32 = 3;
const DATA_CENTRES: [&str; 5] = ["a", "b", "c", "d", "e"];
const NOW: TimePoint = TimePoint::from_millis(60_000);

fn service(number: u16) -> ServiceName {
    ServiceName::new(&format!("service-{}", number % SERVICES)).expect("a valid name")
}

fn record(number: u16) -> MemberRecord {
    let address = |base: u16| SocketAddr::from(([127, 0, 0, 1], base + number));
    MemberRecord {
        id: MemberId {
            address: address(10_000),
            started_ms: 1,
        },
        incarnation: 1,
        state: MemberState::Alive,
        region: "north".into(),
        data_centre: DATA_CENTRES[usize::from(number) % DATA_CENTRES.len()].into(),
        mesh: address(20_000),
        admin: address(30_000),
        target: Some(TargetAnnouncement {
            service: service(number),
            address: address(40_000),
            slots: 130,
            connections: 860,
            state: TargetState::Serving,
            health_path: None,
            load_path: None,
        }),
        policy_version: 1,
    }
}

fn full_table(records: &[MemberRecord]) -> TargetTable {
    let mut table = TargetTable::new(RouterLocation {
        region: "north".into(),
        data_centre: "a".into(),
    });
    table.update(TimePoint::ORIGIN, records);
    table
}

fn target_selection(criterion: &mut Criterion) {
    let records: Vec<MemberRecord> = (0..MEMBERS).map(record).collect();
    let mut table = full_table(&records);
    let mut rng = SmallRng::seed_from_u64(1);
    let priority = CallPriority::new(3, RequestId::from_u128(9));
    let service = service(7);
    criterion.bench_function("pick_start_end_of_1500_targets", |bencher| {
        bencher.iter(|| {
            let decision = table.pick(NOW, &service, priority, &[], &mut rng);
            if let RoutingDecision::Target(key) = decision {
                table.start_call(key);
                table.finish_call(NOW, key, TargetOutcome::Responded(None));
            }
            black_box(decision)
        });
    });
    criterion.bench_function("update_of_1500_targets", |bencher| {
        bencher.iter(|| table.update(NOW, black_box(&records)));
    });
}

fn retry_permits(criterion: &mut Criterion) {
    let mut budgets = BudgetTable::new();
    for number in 0..OPEN_REQUESTS {
        budgets.register(
            RequestId::from_u128(number),
            RetryBudget::new(REQUEST_RETRIES, NOW),
        );
    }
    let request = RequestId::from_u128(77_777);
    criterion.bench_function("open_take_close_among_10000_requests", |bencher| {
        bencher.iter(|| {
            budgets.register(request, RetryBudget::new(REQUEST_RETRIES, NOW));
            black_box(budgets.try_acquire(TimePoint::ORIGIN, request));
            budgets.remove(request)
        });
    });
}

criterion_group!(benches, target_selection, retry_permits);
criterion_main!(benches);
