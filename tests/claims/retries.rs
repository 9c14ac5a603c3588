//! Retries of a call while it runs and after it has ended.

use {
    super::fleet::{CallerOutcome, ClaimFleet, FleetCall, RunEnding, response_of},
    banyantrestle::claims::{ClaimDecision, ClaimLimits, JoinedOutcome, UnknownCause},
    futures_util::future::join_all,
    standins::platform::TableFault,
    std::time::Duration,
    tokio::time::{Instant, sleep},
};

#[tokio::test(start_paused = true)]
async fn retry_gets_the_recorded_response_at_any_guard() {
    let fleet = ClaimFleet::new(3);
    for index in [0, 0, 1, 2] {
        let outcome = fleet.call(index, FleetCall::new("k")).await;
        assert_eq!(outcome, response_of(&fleet, "k"), "guard {index}");
    }
}

#[tokio::test(start_paused = true)]
async fn retry_joins_the_running_call() {
    let fleet = ClaimFleet::new(2);
    let slow = FleetCall {
        run_time: Duration::from_secs(1),
        ..FleetCall::new("k")
    };
    let first = tokio::spawn(fleet.call(0, slow.clone()));
    sleep(Duration::from_millis(300)).await;
    let retries = [0, 0, 1].map(|index| fleet.call(index, slow.clone()));
    let outcomes = join_all(retries).await;
    let response = response_of(&fleet, "k");
    assert_eq!(first.await.unwrap(), response);
    assert!(
        outcomes.iter().all(|outcome| *outcome == response),
        "{outcomes:?}"
    );
}

#[tokio::test(start_paused = true)]
async fn retry_at_another_guard_joins_without_delay() {
    let fleet = ClaimFleet::new(2);
    let slow = FleetCall {
        run_time: Duration::from_secs(2),
        ..FleetCall::new("k")
    };
    let first = tokio::spawn(fleet.call(0, slow.clone()));
    sleep(Duration::from_millis(300)).await;
    // The guard does not hold a slot of its target while the other guard runs the call.
    let start = Instant::now();
    let decision = fleet.guards[1].service.begin(fleet.request(&slow)).await;
    assert!(start.elapsed() < Duration::from_secs(1));
    let ClaimDecision::Joined(joined) = decision else {
        panic!("{decision:?}");
    };
    let outcome = joined.outcome().await;
    assert_eq!(first.await.unwrap(), response_of(&fleet, "k"));
    let response = fleet.runs.of("k").remove(0);
    assert_eq!(outcome, JoinedOutcome::Completed(response));
}

#[tokio::test(start_paused = true)]
async fn retry_at_another_guard_learns_of_the_abandoned_call() {
    let fleet = ClaimFleet::new(2);
    let late = FleetCall {
        dispatch_delay: Duration::from_secs(3),
        deadline: Duration::from_secs(2),
        ..FleetCall::new("k")
    };
    let first = tokio::spawn(fleet.call(0, late));
    sleep(Duration::from_millis(300)).await;
    let retry = fleet.call(1, FleetCall::new("k")).await;
    assert_eq!(retry, CallerOutcome::NotRun);
    assert_eq!(first.await.unwrap(), CallerOutcome::NotRun);
    let outcome = fleet.call(1, FleetCall::new("k")).await;
    assert_eq!(outcome, response_of(&fleet, "k"));
}

#[tokio::test(start_paused = true)]
async fn key_with_a_different_body_is_refused() {
    let fleet = ClaimFleet::new(2);
    fleet.call(0, FleetCall::new("k")).await;
    let other = FleetCall {
        body: "another",
        ..FleetCall::new("k")
    };
    for index in [0, 1] {
        let outcome = fleet.call(index, other.clone()).await;
        assert_eq!(outcome, CallerOutcome::Mismatch);
    }
    response_of(&fleet, "k");
}

#[tokio::test(start_paused = true)]
async fn evicted_response_without_row_copy_is_unknown() {
    let limits = ClaimLimits {
        recorded_calls: 1,
        row_response_bytes: 0,
        ..ClaimLimits::default()
    };
    let fleet = ClaimFleet::with_limits(2, limits);
    fleet.call(0, FleetCall::new("k")).await;
    fleet.call(0, FleetCall::new("l")).await;
    for index in [0, 1] {
        assert_eq!(
            fleet.call(index, FleetCall::new("k")).await,
            CallerOutcome::Unknown
        );
    }
    response_of(&fleet, "k");
}

#[tokio::test(start_paused = true)]
async fn truncated_response_stays_unknown() {
    let fleet = ClaimFleet::new(2);
    let cut = FleetCall {
        ending: RunEnding::TruncatedResponse,
        ..FleetCall::new("k")
    };
    for index in [0, 0, 1] {
        assert_eq!(fleet.call(index, cut.clone()).await, CallerOutcome::Unknown);
    }
    response_of(&fleet, "k");
}

#[tokio::test(start_paused = true)]
async fn call_of_a_restarted_or_killed_holder_is_unknown() {
    for is_restarted in [true, false] {
        let mut fleet = ClaimFleet::new(3);
        fleet.call(0, FleetCall::new("k")).await;
        if is_restarted {
            fleet.restart(0);
            assert_eq!(
                fleet.call(0, FleetCall::new("k")).await,
                CallerOutcome::Unknown
            );
        } else {
            fleet.kill(0);
        }
        assert_eq!(
            fleet.call(1, FleetCall::new("k")).await,
            CallerOutcome::Unknown
        );
        response_of(&fleet, "k");
    }
}

#[tokio::test(start_paused = true)]
async fn call_of_a_dropped_running_claim_is_unknown() {
    let fleet = ClaimFleet::new(2);
    let request = fleet.request(&FleetCall::new("k"));
    let ClaimDecision::Won(token) = fleet.guards[0].service.begin(request).await else {
        panic!("not won");
    };
    assert!(token.is_dispatchable(fleet.clock.now()));
    drop(token.dispatch(fleet.clock.now()).unwrap());
    for index in [0, 1] {
        assert_eq!(
            fleet.call(index, FleetCall::new("k")).await,
            CallerOutcome::Unknown
        );
    }
}

#[tokio::test(start_paused = true)]
async fn full_ledger_refuses_without_delay() {
    let limits = ClaimLimits {
        calls_in_progress: 2,
        waiting_retries: 1,
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
        matches!(refused, ClaimDecision::Unavailable { .. }),
        "{refused:?}"
    );
    let joined = guard.begin(fleet.request(&FleetCall::new("a"))).await;
    let unknown = guard.begin(fleet.request(&FleetCall::new("a"))).await;
    let is_limited = matches!(
        unknown,
        ClaimDecision::Unknown(UnknownCause::TooManyWaiters)
    );
    assert!(is_limited, "{unknown:?}");
    // Retries that no longer wait do not count towards the limit.
    drop(joined);
    let joined = guard.begin(fleet.request(&FleetCall::new("a"))).await;
    assert!(matches!(joined, ClaimDecision::Joined(_)), "{joined:?}");
}

#[tokio::test(start_paused = true)]
async fn retry_of_a_killed_holder_is_unknown() {
    let fleet = ClaimFleet::new(3);
    let slow = FleetCall {
        run_time: Duration::from_secs(4),
        ..FleetCall::new("k")
    };
    tokio::spawn(fleet.call(0, slow.clone()));
    sleep(Duration::from_millis(300)).await;
    let retry = tokio::spawn(fleet.call(1, slow));
    sleep(Duration::from_millis(700)).await;
    fleet.kill(0);
    assert_eq!(retry.await.unwrap(), CallerOutcome::Unknown);
    assert_eq!(
        fleet.call(2, FleetCall::new("k")).await,
        CallerOutcome::Unknown
    );
    assert_eq!(fleet.runs.of("k").len(), 1);
}

#[tokio::test(start_paused = true)]
async fn short_response_survives_eviction_and_restart() {
    for has_restarted in [true, false] {
        let limits = ClaimLimits {
            recorded_calls: 1,
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
            let outcome = fleet.call(index, FleetCall::new("k")).await;
            assert_eq!(
                outcome,
                response_of(&fleet, "k"),
                "restarted: {has_restarted}"
            );
        }
    }
}

#[tokio::test(start_paused = true)]
async fn table_faults_lose_at_most_the_response_copy() {
    let scripts: [&[TableFault]; 3] = [
        &[TableFault::None, TableFault::LoseResponse],
        &[
            TableFault::None,
            TableFault::LoseRequest,
            TableFault::Refuse,
        ],
        &[
            TableFault::None,
            TableFault::DelayedEffect(Duration::from_secs(2)),
        ],
    ];
    for script in scripts {
        let mut fleet = ClaimFleet::new(2);
        fleet.table.script_writes(script);
        fleet.call(0, FleetCall::new("k")).await;
        assert!(fleet.guards[0].service.drain(Duration::from_secs(20)).await);
        fleet.restart(0);
        let outcome = fleet.call(1, FleetCall::new("k")).await;
        assert_eq!(outcome, response_of(&fleet, "k"), "{script:?}");
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
    assert_eq!(
        fleet.call(1, FleetCall::new("k")).await,
        CallerOutcome::Unknown
    );
    assert_eq!(fleet.runs.of("k").len(), 1);
}
