//! The table service down, slow or silent for long.

use {
    super::fleet::{CallTold, ClaimFleet, FleetCall},
    banyantrestle::claims::{ClaimVerdict, OutageGate},
    rand::{SeedableRng, rngs::StdRng},
    standins::platform::TableFault,
    std::time::Duration,
    tokio::time::{Instant, sleep},
};

#[tokio::test(start_paused = true)]
async fn an_outage_is_told_at_once_as_not_run() {
    let faults = [
        TableFault::Refuse,
        TableFault::LoseRequest,
        TableFault::LoseAnswer,
    ];
    for fault in faults {
        let fleet = ClaimFleet::new(3);
        fleet.table.set_fault(fault, TableFault::LoseRequest);
        fleet.table.set_delay(Duration::from_millis(500));
        for key in ["a", "b", "c", "d", "e"] {
            let told = fleet.call(0, FleetCall::new(key)).await;
            assert_eq!(told, CallTold::NotRun, "{fault:?}");
        }
        let start = Instant::now();
        let request = fleet.request(&FleetCall::new("z"));
        let verdict = fleet.guards[0].service.begin(request).await;
        let ClaimVerdict::Unavailable { retry_after } = verdict else {
            panic!("{verdict:?}");
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
async fn after_an_outage_claims_go_on() {
    let faults = [
        TableFault::Refuse,
        TableFault::LoseRequest,
        TableFault::LoseAnswer,
    ];
    for fault in faults {
        let fleet = ClaimFleet::new(3);
        fleet.table.set_fault(fault, TableFault::LoseRequest);
        let mut outage = Vec::new();
        for key in ["a", "b", "c", "d"] {
            outage.push(fleet.call(0, FleetCall::new(key)).await);
            sleep(Duration::from_secs(1)).await;
        }
        assert!(outage.iter().all(|told| *told == CallTold::NotRun));
        fleet.table.set_fault(TableFault::None, TableFault::None);
        sleep(Duration::from_secs(6)).await;
        // The keys that were told not run can be run now, by any guard.
        for (index, key) in [(0, "fresh"), (0, "a"), (1, "b"), (2, "c"), (1, "d")] {
            let told = fleet.call(index, FleetCall::new(key)).await;
            let runs = fleet.runs.of(key);
            assert_eq!(runs.len(), 1, "{fault:?} {key} {told:?}");
            assert_eq!(told, CallTold::Answered(runs[0].clone()));
        }
    }
}

#[tokio::test(start_paused = true)]
async fn a_slow_table_only_slows_claims() {
    let fleet = ClaimFleet::new(3);
    fleet.table.set_delay(Duration::from_millis(400));
    for key in ["a", "b", "c"] {
        let told = fleet.call(0, FleetCall::new(key)).await;
        assert!(matches!(told, CallTold::Answered(_)), "{told:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn short_deadlines_are_no_sign_of_an_outage() {
    let fleet = ClaimFleet::new(1);
    fleet.table.set_delay(Duration::from_millis(100));
    for key in ["a", "b", "c", "d", "e", "f"] {
        let hurried = FleetCall {
            deadline: Duration::from_millis(20),
            ..FleetCall::new(key)
        };
        assert_eq!(fleet.call(0, hurried).await, CallTold::NotRun);
    }
    let told = fleet.call(0, FleetCall::new("k")).await;
    assert!(matches!(told, CallTold::Answered(_)), "{told:?}");
}

#[test]
fn the_gate_opens_for_one_probe_at_a_time() {
    let mut rng = StdRng::seed_from_u64(3);
    let mut gate = OutageGate::default();
    let start = banyantrestle::time::TimePoint::from_millis(1_000);
    for _ in 0..2 {
        gate.on_failure(start, &mut rng);
        assert!(gate.pass(start).is_ok());
    }
    gate.on_failure(start, &mut rng);
    let wait = gate.pass(start).unwrap_err();
    let later = start + wait;
    assert!(gate.pass(later).is_ok());
    assert!(gate.pass(later).is_err());
    gate.on_success();
    assert!(gate.pass(later).is_ok());
    assert!(gate.pass(later).is_ok());
}
