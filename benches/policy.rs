//! Benchmarks of the policy: classification of a call, compilation, compression and version
//! reports. Also benchmarks the event log.

use {
    banyantrestle::{
        context::{CallId, RequestId, ServiceName},
        events::{EventKind, EventLog},
        membership::MemberId,
        policy::{
            ActivePolicy, CompressedPolicy, PeerReport, PolicyDocument, PolicyHash, RoutePolicy,
            VersionReport, VersionTracker, VersionedPolicy,
        },
        time::{ProcessClock, TimePoint},
    },
    criterion::{Criterion, criterion_group, criterion_main},
    std::hint::black_box,
};

/// Number of services planned for the deployment in two years.
const SERVICES: usize = 71;
/// Routes of each service.
const ROUTES_PER_SERVICE: usize = 20;
/// Capacity of the event log.
const LOG_EVENTS: usize = 8_192;

fn service(number: usize) -> ServiceName {
    ServiceName::new(&format!("service-{number}")).expect("a valid name")
}

fn document() -> PolicyDocument {
    let mut document = PolicyDocument::built_in();
    let class = document.default_class.clone();
    let routes = (0..SERVICES).flat_map(|service_number| {
        let class = class.clone();
        (0..ROUTES_PER_SERVICE).map(move |number| RoutePolicy {
            service: service(service_number),
            method: Some("GET".into()),
            path: format!("/resource-{number}/items"),
            class: class.clone(),
        })
    });
    document.routes = routes.collect();
    document
}

fn versioned_policy() -> VersionedPolicy {
    VersionedPolicy {
        version: 1,
        document: document(),
    }
}

fn classify(criterion: &mut Criterion) {
    let policy = ActivePolicy::compile(versioned_policy()).expect("a valid policy");
    let name = service(40);
    for (label, path) in [
        ("first route", "/resource-0/items/7"),
        ("last of 20 routes", "/resource-19/items/7"),
        ("no route", "/nothing"),
        ("path with upper case", "/resource-19/items/AbC"),
        ("encoded path", "/resource-19/%69tems/../items/7"),
    ] {
        criterion.bench_function(&format!("classify, {label}"), |bencher| {
            bencher.iter(|| policy.classify(&name, "GET", black_box(path)).rank);
        });
    }
}

fn compile(criterion: &mut Criterion) {
    let policy = versioned_policy();
    criterion.bench_function("compile 1420 routes", |bencher| {
        bencher.iter(|| ActivePolicy::compile(black_box(policy.clone())));
    });
    criterion.bench_function("hash 1420 routes", |bencher| {
        bencher.iter(|| PolicyHash::of(black_box(&policy.document)));
    });
    let compressed =
        CompressedPolicy::compress(&policy).expect("the policy can be serialized as JSON");
    let json = serde_json::to_vec(&policy).expect("the policy can be serialized as JSON");
    let (compressed_bytes, json_bytes) = (compressed.as_bytes().len(), json.len());
    println!("policy of 1420 routes: {json_bytes} bytes of JSON, {compressed_bytes} compressed");
    criterion.bench_function("pack 1420 routes", |bencher| {
        bencher.iter(|| CompressedPolicy::compress(black_box(&policy)));
    });
    criterion.bench_function("open 1420 routes", |bencher| {
        bencher.iter(|| black_box(&compressed).decompress());
    });
}

fn record_report(criterion: &mut Criterion) {
    let mut tracker = VersionTracker::new();
    tracker.try_enforce(versioned_policy());
    let report = PeerReport {
        peer: ([127, 0, 0, 1], 7_102).into(),
        report: VersionReport {
            version: 1,
            hash: tracker.current().hash,
        },
    };
    criterion.bench_function("hear the version in force", |bencher| {
        bencher.iter(|| tracker.record_report(black_box(report), TimePoint::ORIGIN));
    });
}

fn record_event(criterion: &mut Criterion) {
    let process = MemberId {
        address: ([127, 0, 0, 1], 7_103).into(),
        started_ms: 1,
    };
    let log = EventLog::new(process, ProcessClock::start(), LOG_EVENTS);
    let name = service(1);
    criterion.bench_function("record an event in a full log", |bencher| {
        bencher.iter(|| {
            log.record(EventKind::CallAdmitted {
                request: RequestId::from_u128(7),
                call: CallId::from_u64(7),
                service: name.clone(),
            });
        });
    });
    criterion.bench_function("read 1000 events of the log", |bencher| {
        bencher.iter(|| log.since(0, black_box(1_000)));
    });
}

criterion_group!(benches, classify, compile, record_report, record_event);
criterion_main!(benches);
