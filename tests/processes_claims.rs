//! Purchases while daemons are killed, frozen or cut off from the table at each step of the call.

mod fleet;

use {
    banyantrestle::context::RunOutcome,
    fleet::{ProcessFleet, WAIT_TIMEOUT, buy_call, target_settings},
    standins::{
        client::CallResult,
        deployment::LOOPBACK,
        process::{ProcessSignal, wait_until},
        relay::TcpRelay,
        target::TargetFault,
    },
    std::time::Duration,
    tokio::time::sleep,
};

/// Delay each way that leaves time to strike between the commit of a claim and its answer.
const TABLE_DELAY: Duration = Duration::from_millis(200);
/// Time for which a daemon is frozen; membership gives it up meanwhile.
const FREEZE_TIME: Duration = Duration::from_secs(6);
const ROUNDS: usize = 2;
const REPEATS: usize = 4;

/// Positions of the daemons: one beside the target, one where callers enter.
const GUARD: usize = 0;
const ENTRY: usize = 1;

/// A target whose daemon reaches the table through a relay, and a daemon for the callers.
struct ClaimBench {
    fleet: ProcessFleet,
    relay: TcpRelay,
}

impl ClaimBench {
    async fn start() -> Self {
        let mut fleet = ProcessFleet::new().await;
        let relay = TcpRelay::start(LOOPBACK, fleet.platform.address()).await;
        let relay = relay.expect("a free port");
        fleet
            .add_target_at(target_settings("a"), relay.address())
            .await;
        fleet.add_target(target_settings("b")).await;
        fleet.wait_until_target_reached(ENTRY, GUARD).await;
        Self { fleet, relay }
    }

    /// Sends a purchase in the background.
    fn send(&self, key: &str) -> tokio::task::JoinHandle<CallResult> {
        let client = self.fleet.client(ENTRY);
        let call = buy_call("a", &format!("{key}.0"), key);
        tokio::spawn(async move { client.call(&call).await })
    }

    /// Kills and replaces a daemon, or freezes it for a while.
    async fn strike(&mut self, daemon: usize, signal: ProcessSignal) {
        let process = &self.fleet.daemons[daemon].process;
        process.signal(signal).expect("it runs");
        if signal == ProcessSignal::Kill {
            self.fleet.restart(daemon);
        } else {
            sleep(FREEZE_TIME).await;
        }
    }

    fn thaw(&self, daemon: usize) {
        let process = &self.fleet.daemons[daemon].process;
        process.signal(ProcessSignal::Continue).expect("it runs");
    }

    /// Repeats a key until all is quiet, and checks that it ran at most once.
    async fn check(&self, key: &str, first: &CallResult, told: &str) {
        self.fleet.wait_until_target_reached(ENTRY, GUARD).await;
        for repeat in 1..=REPEATS {
            let call = buy_call("a", &format!("{key}.{repeat}"), key);
            let result = self.fleet.client(ENTRY).call(&call).await;
            assert!(
                !matches!(result, CallResult::Wrong(_)),
                "{told}: {result:?}"
            );
        }
        let runs = self.fleet.ledger.key_runs("a", key);
        assert!(runs <= 1, "{told}: {runs} runs, first {first:?}");
        let is_not_run = first.outcome() == Some(RunOutcome::NotRun);
        let has_arrived = self.fleet.ledger.has_arrived(&format!("{key}.0"));
        assert!(!(is_not_run && has_arrived), "{told}: {first:?}");
    }
}

/// Strikes the guard when its claim is committed but not yet answered.
async fn strike_during_claim(signal: ProcessSignal) {
    let mut bench = ClaimBench::start().await;
    for round in 0..ROUNDS {
        let key = format!("claimed-{round}");
        bench.relay.set_delay(TABLE_DELAY);
        let before = bench.fleet.platform.counters().transactions;
        let running = bench.send(&key);
        let is_committed = wait_until(WAIT_TIMEOUT, || async {
            bench.fleet.platform.counters().transactions > before
        });
        assert!(is_committed.await, "no claim was sent");
        bench.strike(GUARD, signal).await;
        bench.relay.set_delay(Duration::ZERO);
        bench.thaw(GUARD);
        let first = running.await.expect("a caller");
        bench.check(&key, &first, "during the claim").await;
    }
}

/// Strikes a daemon while the target runs the call.
async fn strike_during_run(daemon: usize, signal: ProcessSignal) {
    let mut bench = ClaimBench::start().await;
    for round in 0..ROUNDS {
        let key = format!("run-{round}");
        bench.fleet.targets[GUARD].set_fault(TargetFault::Frozen);
        let running = bench.send(&key);
        let is_running = wait_until(WAIT_TIMEOUT, || async {
            bench.fleet.ledger.key_runs("a", &key) > 0
        });
        assert!(is_running.await, "the purchase did not reach the target");
        bench.strike(daemon, signal).await;
        bench.fleet.targets[GUARD].set_fault(TargetFault::None);
        bench.thaw(daemon);
        let first = running.await.expect("a caller");
        bench.check(&key, &first, "during the run").await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn guard_frozen_during_a_claim_runs_the_call_at_most_once() {
    strike_during_claim(ProcessSignal::Stop).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn guard_killed_during_a_claim_runs_the_call_at_most_once() {
    strike_during_claim(ProcessSignal::Kill).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn guard_frozen_during_a_run_runs_the_call_at_most_once() {
    strike_during_run(GUARD, ProcessSignal::Stop).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn guard_killed_during_a_run_runs_the_call_at_most_once() {
    strike_during_run(GUARD, ProcessSignal::Kill).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn entry_frozen_during_a_run_runs_the_call_at_most_once() {
    strike_during_run(ENTRY, ProcessSignal::Stop).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn entry_killed_during_a_run_runs_the_call_at_most_once() {
    strike_during_run(ENTRY, ProcessSignal::Kill).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_connection_to_the_table_is_replaced() {
    let bench = ClaimBench::start().await;
    let client = bench.fleet.client(ENTRY);
    let call = buy_call("a", "before.0", "before");
    assert_eq!(client.call(&call).await, CallResult::Whole);
    bench.relay.silence();
    let mut tries = 0;
    let mut result = CallResult::TimedOut;
    while !result.is_whole() && tries < 20 {
        let call = buy_call("a", &format!("after.{tries}"), "after");
        result = client.call(&call).await;
        tries += 1;
    }
    let key_runs = bench.fleet.ledger.key_runs("a", "after");
    assert!(key_runs <= 1, "{key_runs} runs");
    let call = buy_call("a", "new.0", "new");
    assert_eq!(
        client.call(&call).await,
        CallResult::Whole,
        "after {tries} tries"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn key_of_another_call_is_refused() {
    let bench = ClaimBench::start().await;
    let client = bench.fleet.client(ENTRY);
    let first = buy_call("a", "first.0", "same");
    assert_eq!(client.call(&first).await, CallResult::Whole);
    let mut other = buy_call("a", "other.0", "same");
    other.body = "another body".into();
    let result = client.call(&other).await;
    let CallResult::Refused {
        status, outcome, ..
    } = result
    else {
        panic!("{result:?}");
    };
    assert_eq!(status, http::StatusCode::UNPROCESSABLE_ENTITY);
    assert_eq!(outcome, Some(RunOutcome::NotRun));
    assert_eq!(bench.fleet.ledger.key_runs("a", "same"), 1);
}
