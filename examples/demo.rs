//! Runs a built-in chain of three services through two scenarios: a surge of callers that retry at
//! once, and a slow service at the end of the chain. Each scenario runs without daemons (protection
//! off) and with them (protection on).

mod support;

use {
    anyhow::ensure,
    serde::Serialize,
    standins::caller::ClassReport,
    std::{process::ExitCode, time::Duration},
    support::{
        DeploymentSpec, PressureKind, PressureScenario, RunMeasurement, TrialMode, TrialResult,
        TrialRun, probe_capacity,
    },
};

xflags::xflags! {
    /// Runs a chain of three services through a surge and a slow service, without and with daemons.
    cmd demo {
        /// Prints the table as JSON.
        optional --json
        /// Seed of arrivals and service times.
        optional --seed number: u64
    }
}

const WARM_UP: Duration = Duration::from_secs(1);
const PRESSURE: Duration = Duration::from_secs(3);
const COOL_DOWN: Duration = Duration::from_secs(4);

/// Results of one run.
#[derive(Serialize)]
struct DemoRow {
    #[serde(flatten)]
    measurement: RunMeasurement,
    counts: Vec<ClassReport>,
}

impl DemoRow {
    fn new(result: TrialResult) -> Self {
        Self {
            measurement: result.measurement,
            counts: result.report.classes,
        }
    }

    fn print(&self) {
        let measurement = &self.measurement;
        let recovery = measurement
            .recovery_ms
            .map_or("never".into(), |time| format!("{time} ms"));
        println!(
            "{}, protection {}, recovery: {recovery}",
            measurement.scenario, measurement.mode
        );
        for class in &self.counts {
            println!(
                "  {:<10} offered {:>5}  whole {:>5} ({:>5.1}%)  refused {:>5}  retried {:>5}",
                class.name,
                class.offered,
                class.succeeded,
                class.success_ratio() * 100.0,
                class.refused(),
                class.retries,
            );
        }
    }
}

async fn run(flags: &Demo) -> anyhow::Result<Vec<DemoRow>> {
    let seed = flags.seed.unwrap_or(1);
    let spec = DeploymentSpec::demo();
    let capacity = probe_capacity(&spec, seed).await?;
    if !flags.json {
        let bottleneck = spec.bottleneck().name;
        println!("capacity of {bottleneck}, the last of three services: {capacity:.0} calls/s");
    }
    let mut rows = Vec::new();
    for kind in [PressureKind::Surge, PressureKind::SlowService] {
        let scenario = PressureScenario {
            warm_up: WARM_UP,
            pressure: PRESSURE,
            cool_down: COOL_DOWN,
            ..PressureScenario::new(&[kind])
        };
        let trial = TrialRun {
            spec: &spec,
            scenario: &scenario,
            capacity,
            seed,
            events_folder: None,
        };
        for mode in [TrialMode::Direct, TrialMode::on()] {
            let row = DemoRow::new(trial.run(&mode).await?);
            if !flags.json {
                row.print();
            }
            rows.push(row);
        }
    }
    Ok(rows)
}

/// Checks guarantees that hold in every run with daemons, regardless of its speed.
fn check_guarantees(rows: &[DemoRow]) -> anyhow::Result<()> {
    let protected = rows.iter().filter(|row| row.measurement.mode == "on");
    for DemoRow {
        measurement,
        counts,
    } in protected
    {
        let succeeded: u64 = counts.iter().map(|class| class.succeeded).sum();
        ensure!(
            succeeded > 0,
            "{}: no request got its complete response",
            measurement.scenario
        );
        ensure!(
            measurement.duplicate_keys == 0,
            "{}: an idempotency key was executed more than once",
            measurement.scenario
        );
        ensure!(
            measurement.false_not_run == 0,
            "{}: a call that a target had read was refused as not-run",
            measurement.scenario
        );
        ensure!(
            measurement.wrong_responses == 0,
            "{}: a response did not match its call",
            measurement.scenario
        );
    }
    Ok(())
}

#[tokio::main]
async fn main() -> anyhow::Result<ExitCode> {
    let flags = Demo::from_env_or_exit();
    let rows = run(&flags).await?;
    if flags.json {
        println!("{}", serde_json::to_string_pretty(&rows)?);
    } else {
        println!("\n{}", RunMeasurement::heading());
        for row in &rows {
            println!("{}", row.measurement.line());
        }
    }
    check_guarantees(&rows)?;
    Ok(ExitCode::SUCCESS)
}
