//! A machine is added while a part of the platform's store is unavailable.

use {
    review_standins::{
        case,
        fleet::wait_until,
        tenant::{Stage, play},
    },
    std::{
        thread,
        time::{Duration, Instant},
    },
};

const MACHINES: u8 = 5;
/// Machines that are added.
const ADDED: usize = 1;
/// Table of the system's own that is unavailable, and for how long.
const LOST_TABLE: &str = "members";
const LOSS_TIME: Duration = Duration::from_millis(4_500);

fn main() {
    case::run(|record, is_troubled| play(record, MACHINES, ADDED, |stage| add(stage, is_troubled)));
}

fn add(stage: &Stage<'_>, is_troubled: bool) -> Result<(), String> {
    let Stage {
        record,
        store,
        machines,
        ..
    } = stage;
    let added = &machines[machines.len() - ADDED];
    let begin = Instant::now();
    if is_troubled {
        record.line(&format!("the store answers 503 for the table {LOST_TABLE}"));
        store.lose_table(Some(LOST_TABLE));
    }
    added.start().map_err(|error| error.to_string())?;
    record.line(&format!("{} is added", added.name));
    if !wait_until(Duration::from_secs(8), || added.is_ready()) {
        return Err("the added sidecar is not ready".into());
    }
    record.line(&format!("the sidecar of {} is ready", added.name));
    thread::sleep(LOSS_TIME.saturating_sub(begin.elapsed()));
    if is_troubled {
        store.lose_table(None);
        record.line("the whole store is available again");
    }
    thread::sleep(Duration::from_secs(14));
    Ok(())
}
