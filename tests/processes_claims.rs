//! Purchases while daemon processes are killed, paused or cut off from the table service at each
//! step of the call.

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

/// Delay of the relay in each direction, which leaves time to interrupt a daemon between the commit
/// of a claim and its reply.
const TABLE_DELAY: Duration = Duration::from_millis(200);
/// Time for which a daemon is paused, long enough for the membership to declare it dead.
const PAUSE_DURATION: Duration = Duration::from_secs(6);
const ROUNDS: usize = 2;
const RETRIES: usize = 4;

/// Indexes of the daemons: one beside the target, one that receives the calls of callers.
const GUARD: usize = 0;
const INGRESS: usize = 1;

/// Target whose daemon reaches the table through a relay, and a daemon for the callers.
struct ClaimFixture {
    fleet: ProcessFleet,
    relay: TcpRelay,
}

impl ClaimFixture {
    async fn start() -> Self {
        let mut fleet = ProcessFleet::new().await;
        let relay = TcpRelay::start(LOOPBACK, fleet.platform.address()).await;
        let relay = relay.expect("a free port");
        fleet
            .add_target_at(target_settings("a"), relay.address())
            .await;
        fleet.add_target(target_settings("b")).await;
        fleet.wait_until_target_reached(INGRESS, GUARD).await;
        Self { fleet, relay }
    }

    /// Sends a purchase in a background task.
    fn send(&self, key: &str) -> tokio::task::JoinHandle<CallResult> {
        let client = self.fleet.client(INGRESS);
        let call = buy_call("a", &format!("{key}.0"), key);
        tokio::spawn(async move { client.call(&call).await })
    }

    /// Kills and replaces a daemon, or pauses it for [`PAUSE_DURATION`].
    async fn interrupt(&mut self, daemon: usize, signal: ProcessSignal) {
        let process = &self.fleet.daemons[daemon].process;
        process.signal(signal).expect("it runs");
        if signal == ProcessSignal::Kill {
            self.fleet.restart(daemon);
        } else {
            sleep(PAUSE_DURATION).await;
        }
    }

    fn resume(&self, daemon: usize) {
        let process = &self.fleet.daemons[daemon].process;
        process.signal(ProcessSignal::Resume).expect("it runs");
    }

    /// Retries the call and checks that it ran at most once.
    async fn check(&self, key: &str, first: &CallResult, phase: &str) {
        self.fleet.wait_until_target_reached(INGRESS, GUARD).await;
        for retry in 1..=RETRIES {
            let call = buy_call("a", &format!("{key}.{retry}"), key);
            let result = self.fleet.client(INGRESS).call(&call).await;
            assert!(
                !matches!(result, CallResult::WrongResponse(_)),
                "{phase}: {result:?}"
            );
        }
        let runs = self.fleet.ledger.key_runs("a", key);
        assert!(runs <= 1, "{phase}: {runs} runs, first {first:?}");
        let is_not_run = first.outcome() == Some(RunOutcome::NotRun);
        let has_arrived = self.fleet.ledger.has_arrived(&format!("{key}.0"));
        assert!(!(is_not_run && has_arrived), "{phase}: {first:?}");
    }
}

/// Interrupts the guard after its claim was committed and before the reply has arrived.
async fn interrupt_during_claim(signal: ProcessSignal) {
    let mut fixture = ClaimFixture::start().await;
    for round in 0..ROUNDS {
        let key = format!("claimed-{round}");
        fixture.relay.set_delay(TABLE_DELAY);
        let before = fixture.fleet.platform.counters().transactions;
        let running = fixture.send(&key);
        let is_committed = wait_until(WAIT_TIMEOUT, || async {
            fixture.fleet.platform.counters().transactions > before
        });
        assert!(is_committed.await, "no claim was sent");
        fixture.interrupt(GUARD, signal).await;
        fixture.relay.set_delay(Duration::ZERO);
        fixture.resume(GUARD);
        let first = running.await.expect("a caller");
        fixture.check(&key, &first, "during the claim").await;
    }
}

/// Interrupts a daemon while the target runs the call.
async fn interrupt_during_run(daemon: usize, signal: ProcessSignal) {
    let mut fixture = ClaimFixture::start().await;
    for round in 0..ROUNDS {
        let key = format!("run-{round}");
        fixture.fleet.targets[GUARD].set_fault(TargetFault::Stall);
        let running = fixture.send(&key);
        let is_running = wait_until(WAIT_TIMEOUT, || async {
            fixture.fleet.ledger.key_runs("a", &key) > 0
        });
        assert!(is_running.await, "the purchase did not reach the target");
        fixture.interrupt(daemon, signal).await;
        fixture.fleet.targets[GUARD].set_fault(TargetFault::None);
        fixture.resume(daemon);
        let first = running.await.expect("a caller");
        fixture.check(&key, &first, "during the run").await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn guard_paused_during_a_claim_runs_the_call_at_most_once() {
    interrupt_during_claim(ProcessSignal::Pause).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn guard_killed_during_a_claim_runs_the_call_at_most_once() {
    interrupt_during_claim(ProcessSignal::Kill).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn guard_paused_during_a_run_runs_the_call_at_most_once() {
    interrupt_during_run(GUARD, ProcessSignal::Pause).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn guard_killed_during_a_run_runs_the_call_at_most_once() {
    interrupt_during_run(GUARD, ProcessSignal::Kill).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn ingress_paused_during_a_run_runs_the_call_at_most_once() {
    interrupt_during_run(INGRESS, ProcessSignal::Pause).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn ingress_killed_during_a_run_runs_the_call_at_most_once() {
    interrupt_during_run(INGRESS, ProcessSignal::Kill).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_connection_to_the_table_is_replaced() {
    let fixture = ClaimFixture::start().await;
    let client = fixture.fleet.client(INGRESS);
    let call = buy_call("a", "before.0", "before");
    assert_eq!(client.call(&call).await, CallResult::Complete);
    fixture.relay.silence();
    let mut attempts = 0;
    let mut result = CallResult::TimedOut;
    while !result.is_complete() && attempts < 20 {
        let call = buy_call("a", &format!("after.{attempts}"), "after");
        result = client.call(&call).await;
        attempts += 1;
    }
    let key_runs = fixture.fleet.ledger.key_runs("a", "after");
    assert!(key_runs <= 1, "{key_runs} runs");
    let call = buy_call("a", "new.0", "new");
    assert_eq!(
        client.call(&call).await,
        CallResult::Complete,
        "after {attempts} attempts"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn key_of_another_call_is_refused() {
    let fixture = ClaimFixture::start().await;
    let client = fixture.fleet.client(INGRESS);
    let first = buy_call("a", "first.0", "same");
    assert_eq!(client.call(&first).await, CallResult::Complete);
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
    assert_eq!(fixture.fleet.ledger.key_runs("a", "same"), 1);
}
