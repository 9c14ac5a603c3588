//! Benchmarks of membership at 1,500 records: ticks, merges and received datagrams.

use {
    banyantrestle::{
        auth::SharedKey,
        context::ServiceName,
        membership::{
            CoreEffect, ExchangePush, MemberId, MemberRecord, MemberState, MemberTable,
            MembershipCore, TICK_INTERVAL, TargetAnnouncement, TargetState,
        },
        time::TimePoint,
    },
    criterion::{BatchSize, Criterion, criterion_group, criterion_main},
    rand::{SeedableRng, rngs::SmallRng},
    std::{
        hint::black_box,
        net::{Ipv4Addr, SocketAddr},
    },
};

const MEMBERS: u16 = 1_500;
const SERVICES: u16 = 71;
const DATA_CENTRES: u16 = 5;
const START: TimePoint = TimePoint::from_millis(1_000);

fn record(index: u16) -> MemberRecord {
    let [high, low] = index.to_be_bytes();
    let address = SocketAddr::new(Ipv4Addr::new(10, 1, high, low).into(), 7_000);
    let service = ServiceName::new(&format!("service-{}", index % SERVICES));
    MemberRecord {
        id: MemberId {
            address,
            started_ms: 1_760_000_000_000,
        },
        incarnation: 1,
        state: MemberState::Alive,
        region: "nz-north".into(),
        data_centre: format!("data-centre-{}", index % DATA_CENTRES).into(),
        mesh: address,
        admin: address,
        target: Some(TargetAnnouncement {
            service: service.expect("a valid name"),
            address,
            slots: 130,
            connections: 860,
            state: TargetState::Serving,
            health_path: None,
            load_path: None,
        }),
        policy_version: 1,
    }
}

/// Returns a core that knows all members and has no pending effects.
fn joined_core(index: u16, rng: &mut SmallRng) -> MembershipCore {
    let key = SharedKey::derive("bench");
    let mut core = MembershipCore::new(record(index), &key, START, rng);
    let push = ExchangePush {
        records: (0..MEMBERS).map(record).collect(),
        wanted: Vec::new(),
    };
    core.apply_push(push, START);
    core.take_effects().for_each(drop);
    core
}

fn tick(criterion: &mut Criterion) {
    let mut rng = SmallRng::seed_from_u64(1);
    let initial_core = joined_core(0, &mut rng);
    criterion.bench_function("membership, 10 ticks at 1500 members", |bencher| {
        bencher.iter_batched_ref(
            || initial_core.clone(),
            |core| {
                for tick in 1..=10 {
                    core.tick(START + TICK_INTERVAL * tick, &mut rng);
                    black_box(core.take_view());
                    core.take_effects().for_each(drop);
                }
            },
            BatchSize::LargeInput,
        );
    });
}

fn merge(criterion: &mut Criterion) {
    let records: Vec<_> = (0..MEMBERS).map(record).collect();
    let mut table = MemberTable::new();
    for record in &records {
        table.merge_record(record, START);
    }
    let mut newer = records[700].clone();
    criterion.bench_function("membership merge of a newer record", |bencher| {
        bencher.iter(|| {
            newer.incarnation += 1;
            black_box(table.merge_record(&newer, START))
        });
    });
    criterion.bench_function("membership merge of a known record", |bencher| {
        bencher.iter(|| black_box(table.merge_record(&records[800], START)));
    });
    criterion.bench_function("membership merge of 1500 records", |bencher| {
        bencher.iter_batched(
            MemberTable::new,
            |mut table| {
                for record in &records {
                    table.merge_record(record, START);
                }
                table
            },
            BatchSize::LargeInput,
        );
    });
}

fn receive(criterion: &mut Criterion) {
    let mut rng = SmallRng::seed_from_u64(2);
    let mut receiver = joined_core(0, &mut rng);
    let mut sender = joined_core(1, &mut rng);
    let mut version = 0;
    let mut next_datagram = || {
        version += 1;
        sender.set_policy_in_force(version, 0);
        sender.tick(START, &mut rng);
        let datagram = sender.take_effects().find_map(|effect| match effect {
            CoreEffect::Send { datagram, .. } => Some(datagram),
            _ => None,
        });
        datagram.expect("a tick sends a new policy version")
    };
    let mut rng = SmallRng::seed_from_u64(3);
    criterion.bench_function("membership datagram received", |bencher| {
        bencher.iter_batched(
            &mut next_datagram,
            |datagram| receiver.receive(&datagram, START, &mut rng),
            BatchSize::SmallInput,
        );
    });
}

criterion_group!(benches, tick, merge, receive);
criterion_main!(benches);
