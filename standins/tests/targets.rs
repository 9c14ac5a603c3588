//! Stand-in targets and callers without daemons between them.

use {
    banyantrestle::context::ServiceName,
    standins::{
        caller::{CallerClass, CallerFleet, CallerSettings, RetryStrategy},
        client::{CallClient, CallPath, CallResult, CallRouter, DirectRoutes, OutboundCall},
        response::{ResponseCheck, ResponsePattern, ResponseVerifier},
        target::{RunLedger, TargetFault, TargetSettings, TargetStandin},
    },
    std::time::Duration,
};

const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

fn name(text: &str) -> ServiceName {
    ServiceName::new(text).expect("a valid name")
}

struct TargetChain {
    routes: DirectRoutes,
    ledger: RunLedger,
    targets: Vec<TargetStandin>,
}

impl TargetChain {
    /// Services `a`, `b` and `c`, each of which calls the next.
    async fn start(max_attempts: u32) -> Self {
        let routes = DirectRoutes::new(max_attempts);
        let ledger = RunLedger::default();
        let mut targets = Vec::new();
        for (service, next) in [("a", Some("b")), ("b", Some("c")), ("c", None)] {
            let mut settings = TargetSettings::new(&name(service));
            settings.mean_service_time = Duration::from_millis(1);
            settings.called_services = next.map(name).into_iter().collect();
            let call_router = CallRouter::Direct(routes.clone());
            let target = TargetStandin::start(settings, call_router, ledger.clone()).await;
            let target = target.expect("a free port");
            routes.add(target.service_name(), target.address());
            targets.push(target);
        }
        Self {
            routes,
            ledger,
            targets,
        }
    }

    fn client(&self) -> CallClient {
        CallClient::new(CallRouter::Direct(self.routes.clone()))
    }
}

fn call(service: &str, path: CallPath, attempt: &str) -> OutboundCall {
    OutboundCall::get(&name(service), path, attempt, WAIT_TIMEOUT)
}

#[test]
fn verifier_distinguishes_complete_truncated_and_mismatched_responses() {
    let pattern = || ResponsePattern::new("a", "/x?bytes=1000", "r.0", 1_000);
    let bytes = pattern().next_chunk(usize::MAX);
    let other = ResponsePattern::new("a", "/x?bytes=1000", "r.1", 1_000).next_chunk(usize::MAX);
    let mut rotated = bytes.to_vec();
    rotated.rotate_left(100);
    let cases: [(&[u8], ResponseCheck); 4] = [
        (&bytes, ResponseCheck::Complete),
        (&bytes[..999], ResponseCheck::Truncated),
        (&other, ResponseCheck::Mismatched),
        (&rotated, ResponseCheck::Mismatched),
    ];
    for (response, expected) in cases {
        let mut verifier = ResponseVerifier::new(pattern());
        for chunk in response.chunks(77) {
            verifier.update(chunk);
        }
        assert_eq!(verifier.check(), expected);
    }
}

#[test]
fn path_round_trips_through_its_text() {
    let path = CallPath::new("x/y")
        .with_response_bytes(9)
        .with_via(vec![name("b"), name("c")]);
    let text = path.to_string();
    assert_eq!(text, "/x/y?bytes=9&via=b,c");
    assert_eq!(CallPath::parse(&text), path);
}

#[tokio::test]
async fn chain_runs_once_at_each_service() {
    let chain = TargetChain::start(1).await;
    let result = chain
        .client()
        .call(&call("a", CallPath::new("x"), "r.0"))
        .await;
    assert_eq!(result, CallResult::Complete);
    let report = chain.ledger.report();
    assert_eq!((report.started, report.finished), (3, 3));
    assert_eq!(report.max_extra_runs, 0);
}

#[tokio::test]
async fn call_follows_the_services_named_in_its_path() {
    let chain = TargetChain::start(1).await;
    let path = CallPath::new("x").with_via(vec![name("a"), name("c")]);
    let result = chain.client().call(&call("c", path, "r.0")).await;
    assert_eq!(result, CallResult::Complete);
    assert_eq!(chain.ledger.report().started, 3);
}

#[tokio::test]
async fn naive_retries_multiply_along_the_chain() {
    let chain = TargetChain::start(3).await;
    chain.targets[2].set_fault(TargetFault::CloseMidway);
    let result = chain
        .client()
        .call(&call("a", CallPath::new("x"), "r.0"))
        .await;
    assert!(!result.is_complete());
    let report = chain.ledger.report();
    assert_eq!(report.started, 3 + 9 + 27);
    assert_eq!(report.max_extra_runs, 2 + 8 + 26);
    assert_eq!(report.max_extra_service_runs, 26);
}

#[tokio::test]
async fn long_response_is_complete_or_closed_midway() {
    let chain = TargetChain::start(1).await;
    let path = CallPath::new("x").with_response_bytes(8 << 20);
    let client = chain.client();
    let result = client.call(&call("c", path.clone(), "r.0")).await;
    assert_eq!(result, CallResult::Complete);
    chain.targets[2].set_fault(TargetFault::CloseMidway);
    let result = client.call(&call("c", path, "r.1")).await;
    assert!(matches!(result, CallResult::Failed(_)), "{result:?}");
}

#[tokio::test]
async fn cancelled_call_releases_its_slot() {
    let chain = TargetChain::start(1).await;
    chain.targets[2].set_fault(TargetFault::Stall);
    let mut call = call("c", CallPath::new("x"), "r.0");
    call.timeout = Duration::from_millis(300);
    assert_eq!(chain.client().call(&call).await, CallResult::TimedOut);
    let is_idle =
        standins::process::wait_until(WAIT_TIMEOUT, || async { chain.targets[2].in_flight() == 0 });
    assert!(is_idle.await, "the target still runs the cancelled call");
    assert_eq!(chain.ledger.report().finished, 0);
}

#[tokio::test]
async fn fleet_counts_each_request_once() {
    let chain = TargetChain::start(1).await;
    let class = CallerClass {
        name: "browse".into(),
        service: name("a"),
        path: CallPath::new("x"),
        rate: 200.0,
        is_keyed: true,
        timeout: WAIT_TIMEOUT,
    };
    let settings = CallerSettings {
        classes: vec![class],
        strategy: RetryStrategy::Immediate { attempts: 3 },
        seed: 7,
    };
    let fleet = CallerFleet::start(settings, chain.client());
    let is_served = standins::process::wait_until(WAIT_TIMEOUT, || async {
        fleet.report().total(|class| class.succeeded) >= 20
    });
    assert!(is_served.await, "{:?}", fleet.report().classes);
    chain.targets[0].set_fault(TargetFault::Shed);
    let is_refused = standins::process::wait_until(WAIT_TIMEOUT, || async {
        fleet.report().total(|class| class.without_outcome) >= 20
    });
    assert!(is_refused.await, "{:?}", fleet.report().classes);
    let report = fleet.stop().await;
    let class = &report.classes[0];
    assert!(class.succeeded < class.offered);
    assert_eq!(class.wrong + class.failed + class.timed_out, 0, "{class:?}");
    assert_eq!(
        class.offered + class.retries,
        class.succeeded + class.without_outcome
    );
    assert_eq!(chain.ledger.report().duplicate_keys, 0);
}
