//! Calls, claims, policy submissions and shutdowns through daemons that run as processes.

mod fleet;

use {
    banyantrestle::context::RunOutcome,
    fleet::{
        ProcessFleet, SlowReader, WAIT_TIMEOUT, browse_call, buy_call, service_name,
        target_settings, test_policy,
    },
    futures_util::future::join_all,
    http::{Method, StatusCode},
    serde_json::json,
    standins::{
        caller::{CallerClass, CallerFleet, CallerSettings, RetryStrategy},
        client::{CallClient, CallPath, CallResult, TextRequest, TextResponse},
        deployment::ADMIN_TOKEN,
        platform::{DownMode, PlatformMode},
        process::{ProcessSignal, wait_until},
        response::ResponseCheck,
    },
    std::{net::SocketAddr, time::Duration},
    tokio::time::sleep,
};

/// Time after which a target that is leaving must receive no new calls.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(5);
/// Number of slow readers, far below the number of slots of a target.
const SLOW_READERS: usize = 4;
const LONG_RESPONSE_BYTES: u64 = 100 << 20;

fn load(service: &str, client: CallClient, seed: u64) -> CallerFleet {
    let class = CallerClass {
        name: "browse".into(),
        service: service_name(service),
        path: CallPath::new("browse"),
        rate: 100.0,
        is_keyed: false,
        timeout: WAIT_TIMEOUT,
    };
    let settings = CallerSettings {
        classes: vec![class],
        strategy: RetryStrategy::Never,
        seed,
    };
    CallerFleet::start(settings, client)
}

async fn wait_for_load(load: &CallerFleet, additional: u64) {
    let start = load.report().classes[0].succeeded;
    let is_under_load = wait_until(WAIT_TIMEOUT, || async {
        load.report().classes[0].succeeded >= start + additional
    });
    assert!(is_under_load.await, "{:?}", load.report().classes);
}

async fn submit_policy(admin: SocketAddr, base_version: u64, ratio_percent: u32) -> TextResponse {
    let mut document = test_policy();
    document.retry.ratio_percent = ratio_percent;
    let body = json!({"base_version": base_version, "document": document});
    let request = TextRequest {
        method: Method::POST,
        path: "/api/policy".into(),
        headers: vec![("authorization", format!("Bearer {ADMIN_TOKEN}"))],
        body: body.to_string(),
    };
    request
        .send(admin)
        .await
        .expect("a response from the console")
}

async fn active_version(admin: SocketAddr) -> Option<u64> {
    let response = TextRequest::get("/api/policy").send(admin).await.ok()?;
    let view: serde_json::Value = serde_json::from_str(&response.text).ok()?;
    view.get("version")?.as_u64()
}

#[tokio::test(flavor = "multi_thread")]
async fn call_chain_runs_once_at_each_of_three_services() {
    let fleet = ProcessFleet::with_services(&["a", "b", "c"]).await;
    let mut call = browse_call("a", "chain");
    call.path = CallPath::new("browse").with_via(vec![service_name("b"), service_name("c")]);
    for service in ["a", "b", "c"] {
        fleet.wait_until_served(0, service, 1).await;
    }
    let client = fleet.client(0);
    let is_complete = wait_until(WAIT_TIMEOUT, || async {
        client.call(&call).await.is_complete()
    });
    assert!(is_complete.await, "{:?}", client.call(&call).await);
    fleet.ledger.clear();
    call.attempt = "counted".into();
    assert_eq!(client.call(&call).await, CallResult::Complete);
    let report = fleet.ledger.report();
    assert_eq!((report.started, report.finished), (3, 3));
    assert_eq!(report.wrong_responses, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn key_sent_to_five_daemons_concurrently_runs_once() {
    let mut fleet = ProcessFleet::with_services(&["a", "a", "a"]).await;
    for _ in 0..2 {
        fleet.add_daemon(fleet.platform.address());
    }
    for daemon in 0..5 {
        fleet.wait_until_served(daemon, "a", 3).await;
    }
    for round in 0..10 {
        let key = format!("key-{round}");
        let clients: Vec<CallClient> = (0..5).map(|daemon| fleet.client(daemon)).collect();
        let calls: Vec<_> = (0..5)
            .map(|number| buy_call("a", &format!("buy-{round}.{number}"), &key))
            .collect();
        let sends = clients
            .iter()
            .zip(&calls)
            .map(|(client, call)| client.call(call));
        let results = join_all(sends).await;
        assert_eq!(fleet.ledger.key_runs("a", &key), 1, "{results:?}");
        let is_answered = results.iter().any(CallResult::is_complete);
        assert!(is_answered, "{results:?}");
        let wrong = |result: &CallResult| matches!(result, CallResult::WrongResponse(_));
        assert!(!results.iter().any(wrong), "{results:?}");
        for (call, result) in calls.iter().zip(&results) {
            let is_not_run = result.outcome() == Some(RunOutcome::NotRun);
            assert!(!is_not_run || !fleet.ledger.has_arrived(&call.attempt));
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn table_outage_refuses_keyed_calls_as_not_run_and_serves_others() {
    let fleet = ProcessFleet::with_services(&["a", "a"]).await;
    fleet.wait_until_served(0, "a", 3).await;
    let client = fleet.client(0);
    assert_eq!(
        client.call(&buy_call("a", "up", "key-up")).await,
        CallResult::Complete
    );
    fleet.platform.set_mode(PlatformMode {
        down: DownMode::Close,
        ..PlatformMode::uncapped()
    });
    for number in 0..5 {
        let key = format!("key-down-{number}");
        let result = client.call(&buy_call("a", &key, &key)).await;
        let CallResult::Refused {
            outcome,
            retry_after,
            ..
        } = result
        else {
            panic!("{result:?}");
        };
        assert_eq!(outcome, Some(RunOutcome::NotRun));
        assert!(retry_after.is_some());
        assert_eq!(fleet.ledger.key_runs("a", &key), 0);
        let result = client
            .call(&browse_call("a", &format!("down-{number}")))
            .await;
        assert_eq!(result, CallResult::Complete);
    }
    fleet.platform.set_mode(PlatformMode::uncapped());
    let call = buy_call("a", "restored", "key-restored");
    let is_served = wait_until(WAIT_TIMEOUT, || async {
        client.call(&call).await.is_complete()
    });
    assert!(is_served.await);
    assert_eq!(fleet.ledger.key_runs("a", "key-restored"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn daemons_discover_each_other_during_table_outage() {
    let mut fleet = ProcessFleet::without_policy().await;
    fleet.platform.set_mode(PlatformMode {
        down: DownMode::Close,
        ..PlatformMode::uncapped()
    });
    fleet.add_target(target_settings("a")).await;
    fleet.add_target(target_settings("b")).await;
    fleet.wait_until_served(0, "b", 3).await;
    fleet.wait_until_served(1, "a", 3).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn one_of_two_concurrent_policy_submissions_gets_a_conflict() {
    let fleet = ProcessFleet::with_services(&["a", "b", "c"]).await;
    for daemon in 0..3 {
        let admin = fleet.daemons[daemon].listen.admin;
        let is_first = wait_until(WAIT_TIMEOUT, || async {
            active_version(admin).await == Some(1)
        });
        assert!(
            is_first.await,
            "policy version 1 is not active at daemon {daemon}"
        );
    }
    let (first, second) = tokio::join!(
        submit_policy(fleet.daemons[0].listen.admin, 1, 11),
        submit_policy(fleet.daemons[1].listen.admin, 1, 12),
    );
    let mut statuses = [first.status, second.status];
    statuses.sort();
    assert_eq!(
        statuses,
        [StatusCode::OK, StatusCode::CONFLICT],
        "{first:?} {second:?}"
    );
    for daemon in &fleet.daemons {
        let admin = daemon.listen.admin;
        let is_second = wait_until(WAIT_TIMEOUT, || async {
            active_version(admin).await == Some(2)
        });
        assert!(is_second.await, "policy version 2 is not active at {admin}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn graceful_shutdown_under_load_fails_no_call() {
    let mut fleet = ProcessFleet::with_services(&["a", "a", "b"]).await;
    fleet.wait_until_target_reached(2, 0).await;
    fleet.wait_until_target_reached(2, 1).await;
    let load = load("a", fleet.client(2), 11);
    wait_for_load(&load, 50).await;
    let daemon = &fleet.daemons[0].process;
    daemon
        .signal(ProcessSignal::Terminate)
        .expect("the daemon runs");
    sleep(LEAVE_TIMEOUT).await;
    let arrived_at_leave = fleet.targets[0].arrived();
    wait_for_load(&load, 100).await;
    assert_eq!(fleet.targets[0].arrived(), arrived_at_leave);
    let status = fleet.daemons[0].process.wait_for_exit(WAIT_TIMEOUT);
    let status = status.expect("a child process").expect("the daemon exits");
    assert!(status.success(), "{}", fleet.daemons[0].process.log());
    let report = load.stop().await;
    let class = &report.classes[0];
    assert_eq!(class.succeeded, class.offered, "{class:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn graceful_shutdown_waits_for_long_streams() {
    let mut fleet = ProcessFleet::with_services(&["a", "b"]).await;
    fleet.wait_until_target_reached(1, 0).await;
    let ingress = fleet.daemons[1].listen.edge;
    let stream = SlowReader::open(ingress, "a", LONG_RESPONSE_BYTES, "stream").await;
    // This call also enters at the daemon that shuts down.
    let own_ingress = fleet.daemons[0].listen.edge;
    let own_stream = SlowReader::open(own_ingress, "a", LONG_RESPONSE_BYTES, "own").await;
    let daemon = &fleet.daemons[0].process;
    daemon
        .signal(ProcessSignal::Terminate)
        .expect("the daemon runs");
    sleep(LEAVE_TIMEOUT).await;
    for stream in [stream, own_stream] {
        let check = stream.finish().await;
        assert_eq!(check.expect("a complete response"), ResponseCheck::Complete);
    }
    let status = fleet.daemons[0].process.wait_for_exit(WAIT_TIMEOUT);
    let status = status.expect("a child process").expect("the daemon exits");
    assert!(status.success(), "{}", fleet.daemons[0].process.log());
}

#[tokio::test(flavor = "multi_thread")]
async fn slow_readers_of_long_responses_do_not_delay_other_calls() {
    let fleet = ProcessFleet::with_services(&["a", "b"]).await;
    fleet.wait_until_target_reached(1, 0).await;
    let ingress = fleet.daemons[1].listen.edge;
    let mut streams = Vec::new();
    for number in 0..SLOW_READERS {
        let attempt = format!("stream-{number}");
        streams.push(SlowReader::open(ingress, "a", LONG_RESPONSE_BYTES, &attempt).await);
    }
    let load = load("a", fleet.client(1), 13);
    wait_for_load(&load, 100).await;
    let report = load.stop().await;
    let class = &report.classes[0];
    assert_eq!(class.succeeded, class.offered, "{class:?}");
    for stream in streams {
        let check = stream.finish().await;
        assert_eq!(check.expect("a complete response"), ResponseCheck::Complete);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn draining_target_receives_no_calls_after_leave_timeout() {
    let fleet = ProcessFleet::with_services(&["a", "a", "b"]).await;
    fleet.wait_until_target_reached(2, 0).await;
    fleet.wait_until_target_reached(2, 1).await;
    let load = load("a", fleet.client_of_all(), 12);
    wait_for_load(&load, 20).await;
    fleet.targets[0].drain();
    sleep(LEAVE_TIMEOUT).await;
    let arrived_before = fleet.targets[0].arrived();
    wait_for_load(&load, 100).await;
    assert_eq!(fleet.targets[0].arrived(), arrived_before);
    let report = load.stop().await;
    let class = &report.classes[0];
    assert_eq!(class.succeeded, class.offered, "{class:?}");
}
