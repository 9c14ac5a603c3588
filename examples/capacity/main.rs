//! Measures how the cost of the control layer per daemon grows with the deployment.
//!
//! There are three kinds of measurement:
//!
//! - membership over real sockets on loopback, with many members in one process;
//! - the member table without I/O, at 1,500 and 15,000 records;
//! - the membership cores of all members on a simulated network that loses 5 % of the datagrams,
//!   in logical time.
//!
//! Each measurement of each size runs in a separate process, so that its memory and processor time
//! include no other measurement.

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
    /// Measures how the cost of the control layer per daemon grows with the deployment.
    cmd capacity {
        /// Also measures the loss of a data centre and of the links between regions; takes minutes.
        optional --faults
        /// Prints the results as JSON.
        optional --json
        /// Runs only this measurement, in this process: member, loopback, table, spread,
        /// lost-data-centre or cut-regions.
        optional --part part: String
        /// Number of members or records of that measurement; 1500 if absent.
        optional --size size: usize
        /// Address of the member to join; required by the measurement `member`.
        optional --peer peer: SocketAddr
    }
}

/// Number of members that the budgets apply to.
pub const BUDGET_MEMBERS: usize = 1_500;

const LOOPBACK_SIZES: [usize; 5] = [25, 50, 100, 200, 300];
const TABLE_SIZES: [usize; 2] = [1_500, 15_000];
const SPREAD_SIZES: [usize; 4] = [25, 100, 400, 1_500];
const SPREAD_TRIALS: usize = 6;
/// Time for which the links between the regions are cut.
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
            let peer = flags
                .peer
                .context("the measurement `member` requires --peer")?;
            // The processor time of the main thread is read, so all tasks run on it.
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
        other => anyhow::bail!("unknown measurement: {other}"),
    }
}

fn print_measurement(measurement: &impl Serialize) -> anyhow::Result<()> {
    println!("{}", serde_json::to_string(measurement)?);
    Ok(())
}

/// Runs a measurement in a child process and parses the result from its output.
fn run_in_child_process<F: DeserializeOwned>(measurement: &str, size: usize) -> anyhow::Result<F> {
    eprintln!("measuring {measurement}, size {size}");
    let output = Command::new(env::current_exe()?)
        .args(["--part", measurement, "--size", &size.to_string()])
        .output()?;
    let error = String::from_utf8_lossy(&output.stderr);
    ensure!(
        output.status.success(),
        "measurement {measurement} of size {size} failed: {error}"
    );
    serde_json::from_slice(&output.stdout)
        .with_context(|| format!("parsing the output of measurement {measurement}"))
}
