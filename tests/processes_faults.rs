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

/// Targets that all calls crash: each is closed while it runs one, and another takes its place.
struct CrashingTargets {
    fleet: ProcessFleet,
    crashes: u32,
}

impl CrashingTargets {
    /// Sends one call and crashes each target that begins to run it.
    async fn call(&mut self, daemon: usize, attempt: &str) {
        let client = self.fleet.client(daemon);
        let call = browse_call("a", attempt);
        let calling = tokio::spawn(async move { client.call(&call).await });
        while !calling.is_finished() {
            for index in 0..CRASHING_TARGETS {
                if self.fleet.targets[index].in_flight() > 0 {
                    self.crashes += 1;
                    self.restart(index).await;
                }
            }
            sleep(Duration::from_millis(1)).await;
        }
    }

    async fn restart(&mut self, index: usize) {
        let target = TargetStandin::start_with_daemon(
            slow_settings(),
            self.fleet.daemons[index].listen.local,
            self.fleet.ledger.clone(),
        );
        let target = target.await.expect("a free port");
        drop(std::mem::replace(&mut self.fleet.targets[index], target));
    }
}

const CRASHING_TARGETS: usize = 3;

fn slow_settings() -> standins::target::TargetSettings {
    let mut settings = target_settings("a");
    settings.mean_service_time = Duration::from_millis(60);
    settings
}

#[tokio::test(flavor = "multi_thread")]
async fn request_that_crashes_its_targets_is_not_retried_without_end() {
    let mut fleet = ProcessFleet::with_services(&["a", "a", "a", "b"]).await;
    fleet.wait_until_served(3, "a", 20).await;
    let daemon = CRASHING_TARGETS;
    for index in 0..CRASHING_TARGETS {
        let local = fleet.daemons[index].listen.local;
        let target =
            TargetStandin::start_with_daemon(slow_settings(), local, fleet.ledger.clone()).await;
        fleet.targets[index] = target.expect("a free port");
    }
    fleet.wait_until_served(daemon, "a", 20).await;
    let mut targets = CrashingTargets { fleet, crashes: 0 };
    let mut number = 0;
    while targets.crashes < 3 {
        targets.call(daemon, &format!("crash-{number}")).await;
        number += 1;
    }
    sleep(Duration::from_secs(3)).await;
    let proved = targets.crashes;
    for number in 0..6 {
        targets.call(daemon, &format!("late-{number}")).await;
        sleep(Duration::from_millis(300)).await;
    }
    let late = targets.crashes - proved;
    assert!(late <= 3, "{late} crashes later than 3 s after the third");
}
