//! Measures what control costs each daemon as the deployment grows.
//!
//! Three kinds of run: the member role over real sockets, many members in one process; the pure
//! table at 1,500 and 15,000 records; and the pure core of every member with 5 % datagram loss,
//! in logical time. Each kind and size runs in a process of its own, so that memory and processor
//! time are those of that run alone.

mod capacity_report;
mod line_fit;
mod loopback_measurement;
mod loopback_member;
mod member_run;
mod spread_measurement;
mod table_measurement;

use {
    anyhow::{Context, ensure},
    capacity_report::CapacityReport,
    loopback_measurement::measure_loopback,
    member_run::run_member,
    serde::{Serialize, de::DeserializeOwned},
    spread_measurement::{measure_cut_regions, measure_lost_data_centre, measure_spread},
    std::{env, net::SocketAddr, process::Command, time::Duration},
    table_measurement::measure_table,
    tokio::runtime::{Builder, Runtime},
};

xflags::xflags! {
    /// Measures what control costs each daemon as the deployment grows.
    cmd capacity {
        /// Also loses a data centre, and cuts the regions off from each other; some minutes.
        optional --faults
        /// Prints the figures as JSON.
        optional --json
        /// Runs one part only, as the whole run does for each of its parts.
        optional --part part: String
        /// Members or records of that part.
        optional --size size: usize
        /// Member to join, for the part `member`.
        optional --peer peer: SocketAddr
    }
}

/// Members of the deployment that the budgets are stated for.
pub const BUDGET_MEMBERS: usize = 1_500;

const LOOPBACK_SIZES: [usize; 5] = [25, 50, 100, 200, 300];
const TABLE_SIZES: [usize; 2] = [1_500, 15_000];
const SPREAD_SIZES: [usize; 4] = [25, 100, 400, 1_500];
const SPREAD_TRIALS: usize = 6;
/// Time for which the regions lose each other.
const REGION_CUT_TIME: Duration = Duration::from_secs(180);

fn main() -> anyhow::Result<()> {
    let flags = Capacity::from_env_or_exit();
    match &flags.part {
        Some(part) => run_measurement(part, &flags),
        None => run_all(&flags),
    }
}

fn run_all(flags: &Capacity) -> anyhow::Result<()> {
    let mut report = CapacityReport::default();
    for size in LOOPBACK_SIZES {
        report
            .loopback
            .push(run_in_child_process("loopback", size)?);
    }
    for size in TABLE_SIZES {
        report.tables.push(run_in_child_process("table", size)?);
    }
    for size in SPREAD_SIZES {
        report.spreads.push(run_in_child_process("spread", size)?);
    }
    if flags.faults {
        report.lost_data_centre = Some(run_in_child_process("lost-data-centre", BUDGET_MEMBERS)?);
        report.cut_regions = Some(run_in_child_process("cut-regions", BUDGET_MEMBERS)?);
    }
    report.fit();
    if flags.json {
        println!("{}", serde_json::to_string_pretty(&report)?);
    } else {
        report.print();
    }
    Ok(())
}

fn run_measurement(measurement: &str, flags: &Capacity) -> anyhow::Result<()> {
    let size = flags.size.unwrap_or(BUDGET_MEMBERS);
    match measurement {
        "member" => {
            let peer = flags.peer.context("the part needs a peer")?;
            // One thread, as its processor time is read.
            let runtime = Builder::new_current_thread().enable_all().build()?;
            runtime.block_on(run_member(peer, size))
        }
        "loopback" => {
            let runtime = Runtime::new()?;
            print_measurement(&runtime.block_on(measure_loopback(size))?)
        }
        "table" => print_measurement(&measure_table(size)?),
        "spread" => print_measurement(&measure_spread(size, SPREAD_TRIALS)?),
        "lost-data-centre" => print_measurement(&measure_lost_data_centre(size)?),
        "cut-regions" => print_measurement(&measure_cut_regions(size, REGION_CUT_TIME)?),
        other => anyhow::bail!("no such part: {other}"),
    }
}

fn print_measurement(measurement: &impl Serialize) -> anyhow::Result<()> {
    println!("{}", serde_json::to_string(measurement)?);
    Ok(())
}

/// Runs a part in a process of its own and reads its figures.
fn run_in_child_process<F: DeserializeOwned>(measurement: &str, size: usize) -> anyhow::Result<F> {
    eprintln!("{measurement}, {size}");
    let output = Command::new(env::current_exe()?)
        .args(["--part", measurement, "--size", &size.to_string()])
        .output()?;
    let error = String::from_utf8_lossy(&output.stderr);
    ensure!(output.status.success(), "{measurement} at {size}: {error}");
    serde_json::from_slice(&output.stdout).with_context(|| format!("figures of {measurement}"))
}
