//! Deletion of expired claims from the table.

use {
    super::{
        fleet::{CallerOutcome, ClaimFleet, FleetCall, WINDOW, key},
        process::ProcessState,
    },
    standins::platform::TableFault,
    std::time::Duration,
    tokio::time::sleep,
};

/// Longer than two passes of the sweep.
const TWO_PASSES_TIMEOUT: Duration = Duration::from_secs(1_200);

#[tokio::test(start_paused = true)]
async fn expired_claims_are_deleted_and_fresh_ones_kept() {
    let fleet = ClaimFleet::new(4);
    fleet.call(0, FleetCall::new("old")).await;
    fleet.call(1, FleetCall::new("older")).await;
    sleep(WINDOW * 3).await;
    assert_eq!(
        fleet.table.tables().count(),
        2,
        "no other process has claimed since"
    );
    for (index, key) in ["a", "b", "c", "d"].into_iter().enumerate() {
        fleet.call(index, FleetCall::new(key)).await;
    }
    sleep(TWO_PASSES_TIMEOUT).await;
    assert_eq!(fleet.table.tables().count(), 4);
    let outcome = fleet.call(3, FleetCall::new("a")).await;
    assert!(
        matches!(outcome, CallerOutcome::Completed(_)),
        "{outcome:?}"
    );
    assert_eq!(fleet.runs.of("a").len(), 1);
}

#[tokio::test(start_paused = true)]
async fn failing_sweep_deletes_nothing_early_and_resumes() {
    let fleet = ClaimFleet::new(4);
    fleet.call(0, FleetCall::new("old")).await;
    sleep(WINDOW * 3).await;
    for (index, key) in ["a", "b", "c", "d"].into_iter().enumerate() {
        fleet.call(index, FleetCall::new(key)).await;
    }
    let sweeper = &fleet.guards[fleet.batcher(0)].process;
    sweeper.set(ProcessState::Paused);
    sleep(TWO_PASSES_TIMEOUT).await;
    sweeper.set(ProcessState::Running);
    fleet
        .table
        .set_fault(TableFault::LoseRequest, TableFault::Refuse);
    sleep(TWO_PASSES_TIMEOUT).await;
    assert_eq!(fleet.table.tables().count(), 5);
    fleet.table.set_fault(TableFault::None, TableFault::None);
    sleep(TWO_PASSES_TIMEOUT).await;
    assert_eq!(fleet.table.tables().count(), 4);
    let row = key("old").row_key();
    assert!(fleet.table.tables().row("claims", &row).is_none());
}
