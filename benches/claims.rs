//! Time of the claim decisions on the path of a call.

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

fn opening(number: usize) -> NewEntry {
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

fn answer() -> RecordedResponse {
    RecordedResponse {
        status: 200,
        headers: Arc::default(),
        body: vec![7; 200].into(),
    }
}

/// Claims, runs and ends one call in the ledger.
fn run(ledger: &mut ClaimLedger<()>, opening: NewEntry) {
    if let LedgerDecision::New(entry) = ledger.open(opening) {
        ledger.mark_won(entry);
        ledger.dispatch(entry);
        ledger.complete(entry, answer());
    }
}

fn full_ledger() -> ClaimLedger<()> {
    let limits = ClaimLimits::default();
    let mut ledger = ClaimLedger::new(limits);
    for number in 0..limits.recorded_calls {
        run(&mut ledger, opening(number));
    }
    ledger
}

fn ledger_benches(criterion: &mut Criterion) {
    let mut ledger = full_ledger();
    let count = ledger.len();
    criterion.bench_function("claim lookup of a recorded answer", |bencher| {
        let opening = opening(count / 2);
        bencher.iter(|| black_box(ledger.open(opening.clone())));
    });
    let mut number = count;
    criterion.bench_function("claim, run and end of a call", |bencher| {
        let next = || {
            number += 1;
            opening(number)
        };
        bencher.iter_batched(
            next,
            |opening| run(&mut ledger, opening),
            BatchSize::SmallInput,
        );
    });
}

fn ring_benches(criterion: &mut Criterion) {
    let service = ServiceName::new("billing").unwrap();
    let member = |port| {
        let address = ([127, 0, 0, 1], port).into();
        let id = MemberId {
            address,
            started_ms: 1,
        };
        BatcherMember { id, mesh: address }
    };
    let mut ring = BatcherRanking::default();
    ring.set_members(service.clone(), (1..=150).map(member).collect());
    criterion.bench_function("choice of batchers among 150 members", |bencher| {
        let rest = Duration::from_secs(5);
        bencher.iter(|| -> Vec<BatcherMember> {
            let candidates = ring.candidates(black_box(&service), NOW, rest);
            candidates.take(2).copied().collect()
        });
    });
    criterion.bench_function("fingerprint of a 1 KiB body", |bencher| {
        let body = [7_u8; 1_024];
        bencher.iter(|| CallFingerprint::of("POST", "/purchases", black_box(&body)));
    });
}

criterion_group!(benches, ledger_benches, ring_benches);
criterion_main!(benches);
