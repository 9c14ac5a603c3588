//! Calls while daemons are killed or paused, connections stall, and responses are lost or truncated.

mod fleet;

use {
    banyantrestle::context::RunOutcome,
    fleet::{MAX_RETRIES, ProcessFleet, WAIT_TIMEOUT, browse_call, service_name, target_settings},
    standins::{
        caller::{CallerClass, CallerFleet, CallerReport, CallerSettings, RetryStrategy},
        client::{CallClient, CallPath, CallResult},
        deployment::LOOPBACK,
        platform::PlatformMode,
        process::{ProcessSignal, wait_until},
        relay::TcpRelay,
        target::{RunLedger, TargetFault, TargetStandin},
    },
    std::time::Duration,
    tokio::time::sleep,
};

/// Time for which a daemon is paused, long enough for the membership to declare it dead.
const PAUSE_DURATION: Duration = Duration::from_secs(8);
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

fn retrying_load(client: CallClient, seed: u64) -> CallerFleet {
    let class = |name_text: &str, rate, is_keyed| CallerClass {
        name: name_text.into(),
        service: service_name("a"),
        path: CallPath::new(name_text),
        rate,
        is_keyed,
        timeout: CALL_TIMEOUT,
    };
    let settings = CallerSettings {
        classes: vec![class("buy", 30.0, true), class("browse", 100.0, false)],
        strategy: RetryStrategy::Immediate { attempts: 3 },
        seed,
    };
    CallerFleet::start(settings, client)
}

async fn wait_for_load(load: &CallerFleet, additional: u64) {
    let succeeded_count = || load.report().total(|class| class.succeeded);
    let start = succeeded_count();
    let is_under_load = wait_until(WAIT_TIMEOUT, || async {
        succeeded_count() >= start + additional
    });
    assert!(is_under_load.await, "{:?}", load.report().classes);
}

/// Checks the guarantees that hold under every fault: no key runs twice, no call that ran is
/// reported as not run, no response is wrong, and retries stay within the budget.
fn check_guarantees(report: &CallerReport, ledger: &RunLedger) {
    let runs = ledger.report();
    assert_eq!(runs.duplicate_keys, 0, "{:?}", runs.keys);
    assert_eq!(report.false_not_run(ledger), 0);
    assert_eq!(report.total(|class| class.wrong), 0);
    assert!(
        runs.max_extra_runs <= MAX_RETRIES,
        "{} retries",
        runs.max_extra_runs
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn killing_the_daemon_of_a_target_breaks_no_guarantee() {
    let fleet = ProcessFleet::with_services(&["a", "a", "b"]).await;
    fleet.wait_until_target_reached(2, 0).await;
    fleet.wait_until_target_reached(2, 1).await;
    let load = retrying_load(fleet.client(2), 21);
    wait_for_load(&load, 50).await;
    let daemon = &fleet.daemons[0].process;
    daemon.signal(ProcessSignal::Kill).expect("the daemon runs");
    wait_for_load(&load, 200).await;
    fleet.wait_until_served(2, "a", 50).await;
    check_guarantees(&load.stop().await, &fleet.ledger);
}

#[tokio::test(flavor = "multi_thread")]
async fn paused_daemon_gets_no_calls_until_it_resumes() {
    let fleet = ProcessFleet::with_services(&["a", "a", "b"]).await;
    fleet.wait_until_target_reached(2, 0).await;
    fleet.wait_until_target_reached(2, 1).await;
    let load = retrying_load(fleet.client(2), 22);
    wait_for_load(&load, 50).await;
    let daemon = &fleet.daemons[0].process;
    daemon
        .signal(ProcessSignal::Pause)
        .expect("the daemon runs");
    fleet.wait_until_served(2, "a", 50).await;
    sleep(PAUSE_DURATION).await;
    daemon
        .signal(ProcessSignal::Resume)
        .expect("the daemon runs");
    fleet.wait_until_target_reached(2, 0).await;
    wait_for_load(&load, 50).await;
    check_guarantees(&load.stop().await, &fleet.ledger);
}

#[tokio::test(flavor = "multi_thread")]
async fn restarted_daemon_replaces_the_killed_one() {
    let mut fleet = ProcessFleet::with_services(&["a", "b"]).await;
    fleet.wait_until_target_reached(1, 0).await;
    let daemon = &fleet.daemons[0].process;
    daemon.signal(ProcessSignal::Kill).expect("the daemon runs");
    fleet.restart(0);
    fleet.wait_until_target_reached(1, 0).await;
    fleet.wait_until_served(1, "a", 20).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn unresponsive_target_connection_is_replaced() {
    let mut fleet = ProcessFleet::new().await;
    let index = fleet.add_daemon(fleet.platform.address());
    let listen = fleet.daemons[index].listen;
    let settings = target_settings("a");
    let router = standins::client::CallRouter::daemons(vec![listen.local]);
    let target = TargetStandin::start(settings, router, fleet.ledger.clone()).await;
    let mut target = target.expect("a free port");
    let relay = TcpRelay::start(LOOPBACK, target.address()).await;
    let relay = relay.expect("a free port");
    target.announce(listen.local, relay.address());
    fleet.targets.push(target);
    fleet.wait_until_served(0, "a", 5).await;
    relay.silence();
    fleet.wait_until_served(0, "a", 5).await;
    let result = fleet.client(0).call(&browse_call("a", "after")).await;
    assert_eq!(result, CallResult::Complete);
}

#[tokio::test(flavor = "multi_thread")]
async fn truncated_response_is_reported_and_retries_stay_in_budget() {
    let fleet = ProcessFleet::with_services(&["a", "a", "b"]).await;
    fleet.wait_until_target_reached(2, 0).await;
    fleet.wait_until_target_reached(2, 1).await;
    fleet.targets[0].set_fault(TargetFault::CloseMidway);
    fleet.targets[1].set_fault(TargetFault::CloseMidway);
    for number in 0..20 {
        let result = fleet
            .client(2)
            .call(&browse_call("a", &format!("cut-{number}")))
            .await;
        assert!(!result.is_complete());
        assert!(
            !matches!(result, CallResult::WrongResponse(_)),
            "{result:?}"
        );
        assert_ne!(result.outcome(), Some(RunOutcome::NotRun));
    }
    assert!(fleet.ledger.report().max_extra_runs <= MAX_RETRIES);
    fleet.targets[0].set_fault(TargetFault::None);
    fleet.targets[1].set_fault(TargetFault::None);
    fleet.wait_until_served(2, "a", 20).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_table_responses_cause_no_duplicate_run() {
    let fleet = ProcessFleet::with_services(&["a", "a", "b"]).await;
    fleet.wait_until_target_reached(2, 0).await;
    fleet.wait_until_target_reached(2, 1).await;
    fleet.platform.set_mode(PlatformMode {
        lose_percent: 40,
        seed: 5,
        ..PlatformMode::uncapped()
    });
    let load = retrying_load(fleet.client_of_all(), 23);
    wait_for_load(&load, 300).await;
    fleet.platform.set_mode(PlatformMode::uncapped());
    wait_for_load(&load, 50).await;
    let report = load.stop().await;
    check_guarantees(&report, &fleet.ledger);
}
