//! Benchmarks of what calls cost for the recognition of requests that crash their targets.

use {
    banyantrestle::crash::{
        AnsweredRequests, CrashReport, CrashSuspect, DigestKey, ProcessDigest, RequestDigest,
        RequestView, SuspectTable,
    },
    criterion::{Criterion, criterion_group, criterion_main},
    std::{hint::black_box, net::SocketAddr, time::Duration},
};

const NOW_MS: u64 = 1_000_000;
/// Calls that a target runs when it crashes.
const SUSPECTS: u32 = 150;
const BODY_SIZES: [(&str, usize); 3] = [("no", 0), ("1 KiB of", 1_024), ("1 MiB of", 1_048_576)];

fn request<'a>(path: &'a str, body: &'a [&'a [u8]]) -> RequestView<'a> {
    RequestView {
        method: "GET",
        host: "shop.example",
        path,
        caller: "front",
        body,
    }
}

fn digest(key: &DigestKey, number: u32) -> RequestDigest {
    key.request(&request(&format!("/listing/{number}"), &[]))
}

fn report(key: &DigestKey, process: u64) -> CrashReport {
    let suspects = (0..SUSPECTS).map(|number| CrashSuspect {
        digest: digest(key, number),
        run_time: Duration::from_millis(40),
        is_isolated: false,
    });
    CrashReport {
        process: ProcessDigest(process),
        reporter: SocketAddr::from(([10, 0, 0, 1], 80)),
        at_ms: NOW_MS,
        suspects: suspects.collect(),
    }
}

fn request_digests(criterion: &mut Criterion) {
    let key = DigestKey::derive("bench");
    for (name, size) in BODY_SIZES {
        let body = vec![7; size];
        let parts = [body.as_slice()];
        let view = request("/listing/1?page=2", &parts);
        criterion.bench_function(
            &format!("digest of a request with {name} body"),
            |bencher| {
                bencher.iter(|| key.request(black_box(&view)));
            },
        );
    }
}

fn standings(criterion: &mut Criterion) {
    let key = DigestKey::derive("bench");
    let known = digest(&key, 1);
    let mut table = SuspectTable::default();
    criterion.bench_function("standing without suspects", |bencher| {
        bencher.iter(|| table.is_empty() || table.refused() > 0);
    });
    table.record_crash(NOW_MS, &report(&key, 1), |_| false);
    criterion.bench_function("standing of one suspect of 150", |bencher| {
        bencher.iter(|| table.standing(NOW_MS, black_box(&known), false));
    });
    let mut answered = AnsweredRequests::default();
    criterion.bench_function("answer remembered", |bencher| {
        bencher.iter(|| answered.record(black_box(known)));
    });
}

fn crashes(criterion: &mut Criterion) {
    let key = DigestKey::derive("bench");
    let report = report(&key, 1);
    criterion.bench_function("crash with 150 suspects", |bencher| {
        bencher.iter(|| {
            let mut table = SuspectTable::default();
            table.record_crash(NOW_MS, black_box(&report), |_| false);
            table.take_changes()
        });
    });
}

criterion_group!(benches, request_digests, standings, crashes);
criterion_main!(benches);
