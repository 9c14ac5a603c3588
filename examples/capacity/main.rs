//! Measures what control costs each daemon as the deployment grows.
//!
//! Three kinds of run: the member role over real sockets, many members in one process; the pure
//! table at 1,500 and 15,000 records; and the pure core of every member with 5 % datagram loss,
//! in logical time. Each kind and size runs in a process of its own, so that memory and processor
//! time are those of that run alone.

mod line_fit;
mod loopback_member;
mod loopback_run;
mod member_run;
mod report;
mod spread_run;
mod table_run;

use {
    anyhow::{Context, ensure},
    loopback_run::measure_loopback,
    member_run::run_member,
    report::CapacityReport,
    serde::{Serialize, de::DeserializeOwned},
    spread_run::{measure_cut_regions, measure_lost_data_centre, measure_spread},
    std::{env, net::SocketAddr, process::Command, time::Duration},
    table_run::measure_table,
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
pub const TARGET_MEMBERS: usize = 1_500;

const LOOPBACK_SIZES: [usize; 5] = [25, 50, 100, 200, 300];
const TABLE_SIZES: [usize; 2] = [1_500, 15_000];
const SPREAD_SIZES: [usize; 4] = [25, 100, 400, 1_500];
const SPREAD_TRIALS: usize = 6;
/// Time for which the regions lose each other.
const REGION_CUT: Duration = Duration::from_secs(180);

fn main() -> anyhow::Result<()> {
    let flags = Capacity::from_env_or_exit();
    match &flags.part {
        Some(part) => run_part(part, &flags),
        None => run_all(&flags),
    }
}

fn run_all(flags: &Capacity) -> anyhow::Result<()> {
    let mut report = CapacityReport::default();
    for size in LOOPBACK_SIZES {
        report.loopback.push(start_part("loopback", size)?);
    }
    for size in TABLE_SIZES {
        report.tables.push(start_part("table", size)?);
    }
    for size in SPREAD_SIZES {
        report.spreads.push(start_part("spread", size)?);
    }
    if flags.faults {
        report.lost_data_centre = Some(start_part("lost-data-centre", TARGET_MEMBERS)?);
        report.cut_regions = Some(start_part("cut-regions", TARGET_MEMBERS)?);
    }
    report.fit();
    if flags.json {
        println!("{}", serde_json::to_string_pretty(&report)?);
    } else {
        report.print();
    }
    Ok(())
}

fn run_part(part: &str, flags: &Capacity) -> anyhow::Result<()> {
    let size = flags.size.unwrap_or(TARGET_MEMBERS);
    match part {
        "member" => {
            let peer = flags.peer.context("the part needs a peer")?;
            // One thread, as its processor time is read.
            let runtime = Builder::new_current_thread().enable_all().build()?;
            runtime.block_on(run_member(peer, size))
        }
        "loopback" => {
            let runtime = Runtime::new()?;
            print_figures(&runtime.block_on(measure_loopback(size))?)
        }
        "table" => print_figures(&measure_table(size)?),
        "spread" => print_figures(&measure_spread(size, SPREAD_TRIALS)?),
        "lost-data-centre" => print_figures(&measure_lost_data_centre(size)?),
        "cut-regions" => print_figures(&measure_cut_regions(size, REGION_CUT)?),
        other => anyhow::bail!("no such part: {other}"),
    }
}

fn print_figures(figures: &impl Serialize) -> anyhow::Result<()> {
    println!("{}", serde_json::to_string(figures)?);
    Ok(())
}

/// Runs a part in a process of its own and reads its figures.
fn start_part<F: DeserializeOwned>(part: &str, size: usize) -> anyhow::Result<F> {
    eprintln!("{part}, {size}");
    let output = Command::new(env::current_exe()?)
        .args(["--part", part, "--size", &size.to_string()])
        .output()?;
    let error = String::from_utf8_lossy(&output.stderr);
    ensure!(output.status.success(), "{part} at {size}: {error}");
    serde_json::from_slice(&output.stdout).with_context(|| format!("figures of {part}"))
}
