//! Targets and callers of the stand-ins against each other, without a daemon between them.

use {
    banyantrestle::context::ServiceName,
    standins::{
        answer::{AnswerPattern, AnswerVerdict, AnswerVerifier},
        caller::{CallerClass, CallerFleet, CallerSettings, RetryStrategy},
        client::{CallClient, CallPath, CallResult, CallRouter, DirectRoutes, OutboundCall},
        target::{RunLedger, TargetFault, TargetSettings, TargetStandin},
    },
    std::time::Duration,
};

const PATIENCE: Duration = Duration::from_secs(20);

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
    async fn start(tries: u32) -> Self {
        let routes = DirectRoutes::new(tries);
        let ledger = RunLedger::default();
        let mut targets = Vec::new();
        for (service, next) in [("a", Some("b")), ("b", Some("c")), ("c", None)] {
            let mut settings = TargetSettings::new(&name(service));
            settings.service_mean = Duration::from_millis(1);
            settings.calls = next.map(name).into_iter().collect();
            let onward = CallRouter::Direct(routes.clone());
            let target = TargetStandin::start(settings, onward, ledger.clone()).await;
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
    OutboundCall::get(&name(service), path, attempt, PATIENCE)
}

#[test]
fn foreign_and_short_answers_are_told_from_whole_ones() {
    let pattern = || AnswerPattern::new("a", "/x?bytes=1000", "r.0", 1_000);
    let bytes = pattern().take(usize::MAX);
    let other = AnswerPattern::new("a", "/x?bytes=1000", "r.1", 1_000).take(usize::MAX);
    let mut swapped = bytes.to_vec();
    swapped.rotate_left(100);
    let cases: [(&[u8], AnswerVerdict); 4] = [
        (&bytes, AnswerVerdict::Whole),
        (&bytes[..999], AnswerVerdict::Short),
        (&other, AnswerVerdict::Foreign),
        (&swapped, AnswerVerdict::Foreign),
    ];
    for (answer, verdict) in cases {
        let mut verifier = AnswerVerifier::new(pattern());
        for chunk in answer.chunks(77) {
            verifier.feed(chunk);
        }
        assert_eq!(verifier.verdict(), verdict);
    }
}

#[test]
fn path_survives_a_round_trip() {
    let path = CallPath::new("x/y")
        .with_bytes(9)
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
    assert_eq!(result, CallResult::Whole);
    let report = chain.ledger.report();
    assert_eq!((report.started, report.finished), (3, 3));
    assert_eq!(report.most_repeats, 0);
}

#[tokio::test]
async fn path_names_the_chain() {
    let chain = TargetChain::start(1).await;
    let path = CallPath::new("x").with_via(vec![name("a"), name("c")]);
    let result = chain.client().call(&call("c", path, "r.0")).await;
    assert_eq!(result, CallResult::Whole);
    assert_eq!(chain.ledger.report().started, 3);
}

#[tokio::test]
async fn naive_retries_multiply_along_the_chain() {
    let chain = TargetChain::start(3).await;
    chain.targets[2].set_fault(TargetFault::Cutting);
    let result = chain
        .client()
        .call(&call("a", CallPath::new("x"), "r.0"))
        .await;
    assert!(!result.is_whole());
    let report = chain.ledger.report();
    assert_eq!(report.started, 3 + 9 + 27);
    assert_eq!(report.most_repeats, 2 + 8 + 26);
    assert_eq!(report.most_service_repeats, 26);
}

#[tokio::test]
async fn long_answer_is_whole_or_cut() {
    let chain = TargetChain::start(1).await;
    let path = CallPath::new("x").with_bytes(8 << 20);
    let client = chain.client();
    let result = client.call(&call("c", path.clone(), "r.0")).await;
    assert_eq!(result, CallResult::Whole);
    chain.targets[2].set_fault(TargetFault::Cutting);
    let result = client.call(&call("c", path, "r.1")).await;
    assert!(matches!(result, CallResult::Failed(_)), "{result:?}");
}

#[tokio::test]
async fn cancelled_call_gives_its_slot_back() {
    let chain = TargetChain::start(1).await;
    chain.targets[2].set_fault(TargetFault::Frozen);
    let mut hasty = call("c", CallPath::new("x"), "r.0");
    hasty.timeout = Duration::from_millis(300);
    assert_eq!(chain.client().call(&hasty).await, CallResult::TimedOut);
    let idle =
        standins::process::wait_until(PATIENCE, || async { chain.targets[2].in_flight() == 0 });
    assert!(idle.await, "the target still works for a caller that left");
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
        timeout: PATIENCE,
    };
    let settings = CallerSettings {
        classes: vec![class],
        strategy: RetryStrategy::Immediate { attempts: 3 },
        seed: 7,
    };
    let fleet = CallerFleet::start(settings, chain.client());
    let enough = standins::process::wait_until(PATIENCE, || async {
        fleet.report().total(|class| class.succeeded) >= 20
    });
    assert!(enough.await, "{:?}", fleet.report().classes);
    chain.targets[0].set_fault(TargetFault::Shedding);
    let refused = standins::process::wait_until(PATIENCE, || async {
        fleet.report().total(|class| class.without_outcome) >= 20
    });
    assert!(refused.await, "{:?}", fleet.report().classes);
    let report = fleet.stop().await;
    let class = &report.classes[0];
    assert!(class.succeeded < class.offered);
    assert_eq!(class.wrong + class.failed + class.timed_out, 0, "{class:?}");
    assert_eq!(
        class.offered + class.retries,
        class.succeeded + class.without_outcome
    );
    assert_eq!(chain.ledger.report().doubled_keys, 0);
}
