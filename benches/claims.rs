//! Benchmarks of the claim decisions for one call.

use {
    banyantrestle::{
        claims::{
            BatcherMember, BatcherRanking, CallFingerprint, ClaimKey, ClaimLedger, ClaimLimits,
            IdempotencyKey, LedgerDecision, NewEntry, RecordedResponse, WriteId,
        },
        context::ServiceName,
        membership::MemberId,
        time::TimePoint,
    },
    criterion::{BatchSize, Criterion, criterion_group, criterion_main},
    std::{hint::black_box, sync::Arc, time::Duration},
};

const NOW: TimePoint = TimePoint::from_millis(1_000);

fn new_entry(number: usize) -> NewEntry {
    NewEntry {
        key: ClaimKey {
            service: ServiceName::new("billing").unwrap(),
            key: IdempotencyKey::new(&format!("8e03978e-40d5-43dd-bc93-{number:012}")).unwrap(),
        },
        fingerprint: CallFingerprint::of("POST", "/purchases", b"body"),
        write_id: WriteId::from_row("w"),
        expires: NOW + Duration::from_secs(60),
    }
}

fn recorded_response() -> RecordedResponse {
    RecordedResponse {
        status: 200,
        headers: Arc::default(),
        body: vec![7; 200].into(),
    }
}

/// Claims, dispatches and completes one call in the ledger.
fn complete_call(ledger: &mut ClaimLedger<()>, new_entry: NewEntry) {
    if let LedgerDecision::New(entry) = ledger.register(new_entry) {
        ledger.mark_won(entry);
        ledger.dispatch(entry);
        ledger.complete(entry, recorded_response());
    }
}

fn full_ledger() -> ClaimLedger<()> {
    let limits = ClaimLimits::default();
    let mut ledger = ClaimLedger::new(limits);
    for number in 0..limits.recorded_calls {
        complete_call(&mut ledger, new_entry(number));
    }
    ledger
}

fn ledger_benches(criterion: &mut Criterion) {
    let mut ledger = full_ledger();
    let count = ledger.len();
    criterion.bench_function("claim lookup of a recorded answer", |bencher| {
        let new_entry = new_entry(count / 2);
        bencher.iter(|| black_box(ledger.register(new_entry.clone())));
    });
    let mut number = count;
    criterion.bench_function("claim, run and end of a call", |bencher| {
        let next_entry = || {
            number += 1;
            new_entry(number)
        };
        bencher.iter_batched(
            next_entry,
            |new_entry| complete_call(&mut ledger, new_entry),
            BatchSize::SmallInput,
        );
    });
}

fn ranking_benches(criterion: &mut Criterion) {
    let service = ServiceName::new("billing").unwrap();
    let member = |port| {
        let address = ([127, 0, 0, 1], port).into();
        let id = MemberId {
            address,
            started_ms: 1,
        };
        BatcherMember { id, mesh: address }
    };
    let mut ranking = BatcherRanking::default();
    ranking.set_members(service.clone(), (1..=150).map(member).collect());
    criterion.bench_function("choice of batchers among 150 members", |bencher| {
        let cooldown = Duration::from_secs(5);
        bencher.iter(|| -> Vec<BatcherMember> {
            let candidates = ranking.candidates(black_box(&service), NOW, cooldown);
            candidates.take(2).copied().collect()
        });
    });
    criterion.bench_function("fingerprint of a 1 KiB body", |bencher| {
        let body = [7_u8; 1_024];
        bencher.iter(|| CallFingerprint::of("POST", "/purchases", black_box(&body)));
    });
}

criterion_group!(benches, ledger_benches, ranking_benches);
criterion_main!(benches);
