//! The operator adds a zone: the settings files change, and a machine is restarted later.

use {
    review_standins::{
        case,
        fleet::{SIGHUP, SIGTERM, ZONES, wait_until},
        tenant::{SERVICE, Stage, play},
    },
    std::{thread, time::Duration},
};

const MACHINES: u8 = 4;
/// Machines that get SIGHUP, and the time between two.
const SIGNALLED: usize = 2;
const SIGNAL_GAP: Duration = Duration::from_secs(2);
/// Machines that are restarted.
const RESTARTED: usize = 1;
const ADDED_ZONE: &str = "nsn-a";

fn main() {
    case::run(|record, is_troubled| play(record, MACHINES, 0, |stage| change(stage, is_troubled)));
}

/// Adds a zone to all settings files, tells some processes, and restarts a machine.
fn change(stage: &Stage<'_>, is_troubled: bool) -> Result<(), String> {
    let Stage {
        record,
        network,
        machines,
        ..
    } = stage;
    let mut zones = ZONES.to_vec();
    if is_troubled {
        zones.push(ADDED_ZONE);
    }
    for machine in *machines {
        network
            .write_settings(machine, SERVICE, &zones)
            .map_err(|error| error.to_string())?;
    }
    record.line(&format!(
        "settings files written with the zones {}",
        zones.join(", ")
    ));
    for machine in &machines[..SIGNALLED] {
        record.line(&format!("SIGHUP to the sidecar of {}", machine.name));
        machine.signal(SIGHUP);
        thread::sleep(SIGNAL_GAP);
    }
    // Longer than the interval at which a sidecar may look for changes by itself.
    thread::sleep(Duration::from_secs(6));
    for machine in &machines[..RESTARTED] {
        record.line(&format!("SIGTERM to the sidecar of {}", machine.name));
        machine.signal(SIGTERM);
        if !machine.wait_for_end(Duration::from_secs(6)) {
            return Err("a sidecar did not end within the grace".into());
        }
        thread::sleep(Duration::from_millis(500));
        machine.start().map_err(|error| error.to_string())?;
        if !wait_until(Duration::from_secs(8), || machine.is_ready()) {
            return Err("a sidecar is not ready again".into());
        }
        record.line(&format!("the sidecar of {} is ready again", machine.name));
    }
    thread::sleep(Duration::from_secs(20));
    Ok(())
}
