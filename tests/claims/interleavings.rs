//! Property test with random calls, faults, pauses and restarts: each call runs at most once.

use {
    super::{
        fleet::{CallerOutcome, ClaimFleet, FleetCall, RunEnding},
        process::{LinkFaults, ProcessState},
    },
    proptest::{
        collection::vec,
        prelude::{Just, Strategy, any, prop_oneof},
        test_runner::{Config, RngSeed, TestRunner},
    },
    standins::platform::{RandomFaults, TableFault},
    std::{collections::HashMap, time::Duration},
    tokio::{
        runtime::Builder,
        time::{Instant, sleep, sleep_until, timeout},
    },
};

const KEYS: [&str; 3] = ["a", "b", "c"];
const BODIES: [&str; 5] = ["body", "body", "body", "body", "another"];
const GUARDS: u16 = 4;
/// Time in which all calls start and all events occur, in ms.
const SPAN_MS: u64 = 6_000;

#[derive(Clone, Debug)]
struct Scenario {
    seed: u64,
    calls: Vec<(u64, usize, FleetCall)>,
    events: Vec<(u64, usize, FleetEvent)>,
    table: RandomFaults,
    links: LinkFaults,
}

#[derive(Clone, Copy, Debug)]
enum FleetEvent {
    Pause,
    Resume,
    Restart,
    TableDown,
    TableUp,
}

fn call() -> impl Strategy<Value = FleetCall> {
    let ending = prop_oneof![
        6 => Just(RunEnding::Response),
        1 => Just(RunEnding::TruncatedResponse),
        2 => Just(RunEnding::Unsent),
    ];
    let times = (100..5_000_u64, 0..400_u64, 0..2_000_u64);
    (0..KEYS.len(), 0..BODIES.len(), times, ending).prop_map(|(key, body, times, ending)| {
        FleetCall {
            key: KEYS[key],
            body: BODIES[body],
            deadline: Duration::from_millis(times.0),
            dispatch_delay: Duration::from_millis(times.1),
            run_time: Duration::from_millis(times.2),
            ending,
        }
    })
}

fn event() -> impl Strategy<Value = FleetEvent> {
    prop_oneof![
        3 => Just(FleetEvent::Pause),
        4 => Just(FleetEvent::Resume),
        1 => Just(FleetEvent::Restart),
        1 => Just(FleetEvent::TableDown),
        1 => Just(FleetEvent::TableUp),
    ]
}

fn table_faults() -> impl Strategy<Value = RandomFaults> {
    (0..15_u32, 0..15_u32, 0..30_u32, 0..15_u32, 1..600_u64).prop_map(|faults| RandomFaults {
        refuse: faults.0,
        lose_request: faults.1,
        lose_response: faults.2,
        delayed_effect: faults.3,
        max_delay: Duration::from_millis(faults.4),
    })
}

fn link_faults() -> impl Strategy<Value = LinkFaults> {
    let shares = (0..10_u32, 0..10_u32, 0..20_u32, 0..20_u32, 0..10_u32);
    (shares, 1..300_u64).prop_map(|(shares, delay)| LinkFaults {
        unreached: shares.0,
        lose_request: shares.1,
        lose_reply: shares.2,
        duplicate: shares.3,
        wrong_reply: shares.4,
        max_delay: Duration::from_millis(delay),
    })
}

fn scenario() -> impl Strategy<Value = Scenario> {
    let guard = 0..usize::from(GUARDS);
    let calls = vec((0..SPAN_MS, guard.clone(), call()), 2..16);
    let events = vec((0..SPAN_MS, guard, event()), 0..8);
    (any::<u64>(), calls, events, table_faults(), link_faults()).prop_map(
        |(seed, calls, events, table, links)| Scenario {
            seed,
            calls,
            events,
            table,
            links,
        },
    )
}

/// Calls with their outcomes; `None` if the guard was killed before it returned one.
type CallerOutcomes = Vec<(FleetCall, Option<CallerOutcome>)>;

async fn run_scenario(scenario: &Scenario) -> (ClaimFleet, CallerOutcomes) {
    let mut fleet = ClaimFleet::new(GUARDS);
    fleet
        .table
        .set_random_faults(Some(scenario.table), scenario.seed);
    fleet.set_links(scenario.links, scenario.seed);
    let start = Instant::now();
    let mut steps: Vec<(u64, usize, Result<FleetCall, FleetEvent>)> = Vec::new();
    for (at, guard, call) in &scenario.calls {
        steps.push((*at, *guard, Ok(call.clone())));
    }
    for (at, guard, event) in &scenario.events {
        steps.push((*at, *guard, Err(*event)));
    }
    steps.sort_by_key(|(at, ..)| *at);
    let mut running = Vec::new();
    for (at, guard, step) in steps {
        sleep_until(start + Duration::from_millis(at)).await;
        match step {
            Ok(call) => running.push((call.clone(), tokio::spawn(fleet.call(guard, call)))),
            Err(event) => apply(&mut fleet, guard, event, scenario),
        }
    }
    fleet.table.set_random_faults(None, 0);
    fleet.table.set_fault(TableFault::None, TableFault::None);
    fleet.set_links(LinkFaults::default(), 0);
    for guard in &fleet.guards {
        guard.process.set(ProcessState::Running);
    }
    let mut outcomes = Vec::new();
    for (call, task) in running {
        let joined = timeout(Duration::from_secs(60), task).await;
        outcomes.push((call, joined.ok().map(Result::unwrap)));
    }
    // Wait until all circuit breakers and batcher cooldowns have ended.
    sleep(Duration::from_secs(20)).await;
    (fleet, outcomes)
}

fn apply(fleet: &mut ClaimFleet, guard: usize, event: FleetEvent, scenario: &Scenario) {
    let process = &fleet.guards[guard].process;
    match event {
        FleetEvent::Pause => process.set(ProcessState::Paused),
        FleetEvent::Resume => process.set(ProcessState::Running),
        FleetEvent::Restart => fleet.restart(guard),
        FleetEvent::TableDown => {
            fleet.table.set_random_faults(None, 0);
            let fault = TableFault::LoseResponse;
            fleet.table.set_fault(fault, TableFault::LoseRequest);
        }
        FleetEvent::TableUp => fleet
            .table
            .set_random_faults(Some(scenario.table), scenario.seed),
    }
}

async fn check(scenario: &Scenario) {
    let (fleet, outcomes) = run_scenario(scenario).await;
    let mut by_key: HashMap<&str, Vec<Option<CallerOutcome>>> = HashMap::new();
    for (call, outcome) in outcomes {
        let runs = fleet.runs.of(call.key);
        assert!(runs.len() <= 1, "{} runs of {}", runs.len(), call.key);
        if let Some(CallerOutcome::Completed(response)) = &outcome {
            assert_eq!(Some(response), runs.first(), "response of another run");
        }
        by_key.entry(call.key).or_default().push(outcome);
    }
    for (key, outcomes) in by_key {
        let is_never_run = outcomes
            .iter()
            .all(|outcome| *outcome == Some(CallerOutcome::NotRun));
        if is_never_run {
            assert!(
                fleet.runs.of(key).is_empty(),
                "{key} ran, but every caller got not-run"
            );
        }
    }
    for index in 0..fleet.guards.len() {
        let key = ["w", "x", "y", "z"][index];
        let outcome = fleet.call(index, FleetCall::new(key)).await;
        assert!(
            matches!(outcome, CallerOutcome::Completed(_)),
            "after the faults: {outcome:?}"
        );
    }
    for guard in &fleet.guards {
        assert_eq!(
            guard.service.calls_in_progress(),
            0,
            "open attempt after all calls have ended"
        );
    }
}

#[test]
fn each_call_runs_at_most_once() {
    let config = Config {
        cases: 400,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(41),
        ..Config::default()
    };
    let mut runner = TestRunner::new(config);
    let outcome = runner.run(&scenario(), |scenario| {
        let runtime = Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .unwrap();
        runtime.block_on(check(&scenario));
        Ok(())
    });
    outcome.unwrap();
}
