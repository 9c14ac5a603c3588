//! Long outages and slowness of the table service.

use {
    super::fleet::{CallerOutcome, ClaimFleet, FleetCall},
    banyantrestle::claims::{ClaimDecision, TableBreaker},
    rand::{SeedableRng, rngs::StdRng},
    standins::platform::TableFault,
    std::time::Duration,
    tokio::time::{Instant, sleep},
};

#[tokio::test(start_paused = true)]
async fn outage_refuses_claims_without_delay() {
    let faults = [
        TableFault::Refuse,
        TableFault::LoseRequest,
        TableFault::LoseResponse,
    ];
    for fault in faults {
        let fleet = ClaimFleet::new(3);
        fleet.table.set_fault(fault, TableFault::LoseRequest);
        fleet.table.set_delay(Duration::from_millis(500));
        for key in ["a", "b", "c", "d", "e"] {
            let outcome = fleet.call(0, FleetCall::new(key)).await;
            assert_eq!(outcome, CallerOutcome::NotRun, "{fault:?}");
        }
        let start = Instant::now();
        let request = fleet.request(&FleetCall::new("z"));
        let decision = fleet.guards[0].service.begin(request).await;
        let ClaimDecision::Unavailable { retry_after } = decision else {
            panic!("{decision:?}");
        };
        assert!(!retry_after.is_zero());
        assert!(
            start.elapsed().is_zero(),
            "{fault:?} waited {:?}",
            start.elapsed()
        );
    }
}

#[tokio::test(start_paused = true)]
async fn claims_resume_after_an_outage() {
    let faults = [
        TableFault::Refuse,
        TableFault::LoseRequest,
        TableFault::LoseResponse,
    ];
    for fault in faults {
        let fleet = ClaimFleet::new(3);
        fleet.table.set_fault(fault, TableFault::LoseRequest);
        let mut outage = Vec::new();
        for key in ["a", "b", "c", "d"] {
            outage.push(fleet.call(0, FleetCall::new(key)).await);
            sleep(Duration::from_secs(1)).await;
        }
        assert!(
            outage
                .iter()
                .all(|outcome| *outcome == CallerOutcome::NotRun)
        );
        fleet.table.set_fault(TableFault::None, TableFault::None);
        sleep(Duration::from_secs(6)).await;
        // Keys that were reported as not run can now run at any guard.
        for (index, key) in [(0, "fresh"), (0, "a"), (1, "b"), (2, "c"), (1, "d")] {
            let outcome = fleet.call(index, FleetCall::new(key)).await;
            let runs = fleet.runs.of(key);
            assert_eq!(runs.len(), 1, "{fault:?} {key} {outcome:?}");
            assert_eq!(outcome, CallerOutcome::Completed(runs[0].clone()));
        }
    }
}

#[tokio::test(start_paused = true)]
async fn slow_table_only_delays_claims() {
    let fleet = ClaimFleet::new(3);
    fleet.table.set_delay(Duration::from_millis(400));
    for key in ["a", "b", "c"] {
        let outcome = fleet.call(0, FleetCall::new(key)).await;
        assert!(
            matches!(outcome, CallerOutcome::Completed(_)),
            "{outcome:?}"
        );
    }
}

#[tokio::test(start_paused = true)]
async fn short_deadlines_do_not_open_the_breaker() {
    let fleet = ClaimFleet::new(1);
    fleet.table.set_delay(Duration::from_millis(100));
    for key in ["a", "b", "c", "d", "e", "f"] {
        let hurried = FleetCall {
            deadline: Duration::from_millis(20),
            ..FleetCall::new(key)
        };
        assert_eq!(fleet.call(0, hurried).await, CallerOutcome::NotRun);
    }
    let outcome = fleet.call(0, FleetCall::new("k")).await;
    assert!(
        matches!(outcome, CallerOutcome::Completed(_)),
        "{outcome:?}"
    );
}

#[test]
fn open_breaker_admits_one_probe_at_a_time() {
    let mut rng = StdRng::seed_from_u64(3);
    let mut breaker = TableBreaker::default();
    let start = banyantrestle::time::TimePoint::from_millis(1_000);
    for _ in 0..2 {
        breaker.on_failure(start, &mut rng);
        assert!(breaker.admit(start).is_ok());
    }
    breaker.on_failure(start, &mut rng);
    let wait = breaker.admit(start).unwrap_err();
    let later = start + wait;
    assert!(breaker.admit(later).is_ok());
    assert!(breaker.admit(later).is_err());
    breaker.on_success();
    assert!(breaker.admit(later).is_ok());
    assert!(breaker.admit(later).is_ok());
}
