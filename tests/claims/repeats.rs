//! Repeats of a call, while it runs and after it has ended.

use {
    super::fleet::{CallEnd, CallTold, ClaimFleet, FleetCall, answer_of},
    banyantrestle::claims::{ClaimLimits, ClaimVerdict, JoinedOutcome, UnknownReason},
    futures_util::future::join_all,
    standins::platform::TableFault,
    std::time::Duration,
    tokio::time::{Instant, sleep},
};

#[tokio::test(start_paused = true)]
async fn a_repeat_gets_the_recorded_answer_at_any_guard() {
    let fleet = ClaimFleet::new(3);
    for index in [0, 0, 1, 2] {
        let told = fleet.call(index, FleetCall::new("k")).await;
        assert_eq!(told, answer_of(&fleet, "k"), "guard {index}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_repeat_joins_the_running_call() {
    let fleet = ClaimFleet::new(2);
    let slow = FleetCall {
        run_time: Duration::from_secs(1),
        ..FleetCall::new("k")
    };
    let first = tokio::spawn(fleet.call(0, slow.clone()));
    sleep(Duration::from_millis(300)).await;
    let repeats = [0, 0, 1].map(|index| fleet.call(index, slow.clone()));
    let told = join_all(repeats).await;
    let answer = answer_of(&fleet, "k");
    assert_eq!(first.await.unwrap(), answer);
    assert!(told.iter().all(|told| *told == answer), "{told:?}");
}

#[tokio::test(start_paused = true)]
async fn a_repeat_at_another_guard_joins_at_once() {
    let fleet = ClaimFleet::new(2);
    let slow = FleetCall {
        run_time: Duration::from_secs(2),
        ..FleetCall::new("k")
    };
    let first = tokio::spawn(fleet.call(0, slow.clone()));
    sleep(Duration::from_millis(300)).await;
    // The guard need not hold a slot of its target while the other one runs the call.
    let start = Instant::now();
    let verdict = fleet.guards[1].service.begin(fleet.request(&slow)).await;
    assert!(start.elapsed() < Duration::from_secs(1));
    let ClaimVerdict::Joined(joined) = verdict else {
        panic!("{verdict:?}");
    };
    let outcome = joined.outcome().await;
    assert_eq!(first.await.unwrap(), answer_of(&fleet, "k"));
    let answer = fleet.runs.of("k").remove(0);
    assert_eq!(outcome, JoinedOutcome::Answered(answer));
}

#[tokio::test(start_paused = true)]
async fn a_repeat_at_another_guard_is_told_when_the_call_is_given_up() {
    let fleet = ClaimFleet::new(2);
    let late = FleetCall {
        pause: Duration::from_secs(3),
        deadline: Duration::from_secs(2),
        ..FleetCall::new("k")
    };
    let first = tokio::spawn(fleet.call(0, late));
    sleep(Duration::from_millis(300)).await;
    let repeat = fleet.call(1, FleetCall::new("k")).await;
    assert_eq!(repeat, CallTold::NotRun);
    assert_eq!(first.await.unwrap(), CallTold::NotRun);
    let told = fleet.call(1, FleetCall::new("k")).await;
    assert_eq!(told, answer_of(&fleet, "k"));
}

#[tokio::test(start_paused = true)]
async fn a_key_with_another_body_is_refused() {
    let fleet = ClaimFleet::new(2);
    fleet.call(0, FleetCall::new("k")).await;
    let other = FleetCall {
        body: "another",
        ..FleetCall::new("k")
    };
    for index in [0, 1] {
        let told = fleet.call(index, other.clone()).await;
        assert_eq!(told, CallTold::Mismatch);
    }
    answer_of(&fleet, "k");
}

#[tokio::test(start_paused = true)]
async fn an_evicted_answer_that_is_not_in_its_row_is_unknown() {
    let limits = ClaimLimits {
        kept_calls: 1,
        row_answer_bytes: 0,
        ..ClaimLimits::default()
    };
    let fleet = ClaimFleet::with_limits(2, limits);
    fleet.call(0, FleetCall::new("k")).await;
    fleet.call(0, FleetCall::new("l")).await;
    for index in [0, 1] {
        assert_eq!(
            fleet.call(index, FleetCall::new("k")).await,
            CallTold::Unknown
        );
    }
    answer_of(&fleet, "k");
}

#[tokio::test(start_paused = true)]
async fn a_cut_answer_is_unknown_for_ever() {
    let fleet = ClaimFleet::new(2);
    let cut = FleetCall {
        end: CallEnd::CutAnswer,
        ..FleetCall::new("k")
    };
    for index in [0, 0, 1] {
        assert_eq!(fleet.call(index, cut.clone()).await, CallTold::Unknown);
    }
    answer_of(&fleet, "k");
}

#[tokio::test(start_paused = true)]
async fn a_restarted_or_killed_holder_is_unknown() {
    for is_restarted in [true, false] {
        let mut fleet = ClaimFleet::new(3);
        fleet.call(0, FleetCall::new("k")).await;
        if is_restarted {
            fleet.restart(0);
            assert_eq!(fleet.call(0, FleetCall::new("k")).await, CallTold::Unknown);
        } else {
            fleet.kill(0);
        }
        assert_eq!(fleet.call(1, FleetCall::new("k")).await, CallTold::Unknown);
        answer_of(&fleet, "k");
    }
}

#[tokio::test(start_paused = true)]
async fn a_dropped_running_claim_is_unknown() {
    let fleet = ClaimFleet::new(2);
    let request = fleet.request(&FleetCall::new("k"));
    let ClaimVerdict::Won(token) = fleet.guards[0].service.begin(request).await else {
        panic!("not won");
    };
    assert!(token.is_dispatchable(fleet.clock.now()));
    drop(token.dispatch(fleet.clock.now()).unwrap());
    for index in [0, 1] {
        assert_eq!(
            fleet.call(index, FleetCall::new("k")).await,
            CallTold::Unknown
        );
    }
}

#[tokio::test(start_paused = true)]
async fn full_ledgers_and_queues_refuse_at_once() {
    let limits = ClaimLimits {
        open_calls: 2,
        waiting_repeats: 1,
        ..ClaimLimits::default()
    };
    let fleet = ClaimFleet::with_limits(1, limits);
    let guard = &fleet.guards[0].service;
    let mut tokens = Vec::new();
    for key in ["a", "b"] {
        tokens.push(guard.begin(fleet.request(&FleetCall::new(key))).await);
    }
    let refused = guard.begin(fleet.request(&FleetCall::new("c"))).await;
    assert!(
        matches!(refused, ClaimVerdict::Unavailable { .. }),
        "{refused:?}"
    );
    let joined = guard.begin(fleet.request(&FleetCall::new("a"))).await;
    let unknown = guard.begin(fleet.request(&FleetCall::new("a"))).await;
    let is_limited = matches!(
        unknown,
        ClaimVerdict::Unknown(UnknownReason::TooManyRepeats)
    );
    assert!(is_limited, "{unknown:?}");
    // A repeat that no longer waits makes room.
    drop(joined);
    let joined = guard.begin(fleet.request(&FleetCall::new("a"))).await;
    assert!(matches!(joined, ClaimVerdict::Joined(_)), "{joined:?}");
}

#[tokio::test(start_paused = true)]
async fn a_repeat_whose_holder_is_killed_is_unknown() {
    let fleet = ClaimFleet::new(3);
    let slow = FleetCall {
        run_time: Duration::from_secs(4),
        ..FleetCall::new("k")
    };
    tokio::spawn(fleet.call(0, slow.clone()));
    sleep(Duration::from_millis(300)).await;
    let repeat = tokio::spawn(fleet.call(1, slow));
    sleep(Duration::from_millis(700)).await;
    fleet.kill(0);
    assert_eq!(repeat.await.unwrap(), CallTold::Unknown);
    assert_eq!(fleet.call(2, FleetCall::new("k")).await, CallTold::Unknown);
    assert_eq!(fleet.runs.of("k").len(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_short_answer_outlives_its_ledger_and_its_process() {
    for has_restarted in [true, false] {
        let limits = ClaimLimits {
            kept_calls: 1,
            ..ClaimLimits::default()
        };
        let mut fleet = ClaimFleet::with_limits(3, limits);
        fleet.call(0, FleetCall::new("k")).await;
        fleet.call(0, FleetCall::new("l")).await;
        assert!(fleet.guards[0].service.drain(Duration::from_secs(5)).await);
        if has_restarted {
            fleet.restart(0);
        }
        for index in [0, 1, 2] {
            let told = fleet.call(index, FleetCall::new("k")).await;
            assert_eq!(told, answer_of(&fleet, "k"), "restarted: {has_restarted}");
        }
    }
}

#[tokio::test(start_paused = true)]
async fn a_failing_table_only_loses_the_answer_in_the_row() {
    let scripts: [&[TableFault]; 3] = [
        &[TableFault::None, TableFault::LoseAnswer],
        &[
            TableFault::None,
            TableFault::LoseRequest,
            TableFault::Refuse,
        ],
        &[
            TableFault::None,
            TableFault::LateEffect(Duration::from_secs(2)),
        ],
    ];
    for script in scripts {
        let mut fleet = ClaimFleet::new(2);
        fleet.table.script_writes(script);
        fleet.call(0, FleetCall::new("k")).await;
        assert!(fleet.guards[0].service.drain(Duration::from_secs(20)).await);
        fleet.restart(0);
        let told = fleet.call(1, FleetCall::new("k")).await;
        assert_eq!(told, answer_of(&fleet, "k"), "{script:?}");
    }
    let fleet = ClaimFleet::new(2);
    fleet.table.script_writes(&[TableFault::None]);
    fleet
        .table
        .set_fault(TableFault::LoseRequest, TableFault::None);
    fleet.call(0, FleetCall::new("k")).await;
    assert!(fleet.guards[0].service.drain(Duration::from_secs(60)).await);
    fleet.kill(0);
    fleet.table.set_fault(TableFault::None, TableFault::None);
    sleep(Duration::from_secs(20)).await;
    assert_eq!(fleet.call(1, FleetCall::new("k")).await, CallTold::Unknown);
    assert_eq!(fleet.runs.of("k").len(), 1);
}
