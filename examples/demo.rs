//! Runs the main job on an embedded default: a chain of three services, with the protection off
//! and on, through a surge of hard-retrying callers and a slow deep service.

mod support;

use {
    anyhow::ensure,
    serde::Serialize,
    standins::caller::ClassReport,
    std::{process::ExitCode, time::Duration},
    support::{
        DeploymentPlan, PressureKind, PressureScenario, RunFigures, TrialMode, TrialResult,
        TrialRun, probe_capacity,
    },
};

xflags::xflags! {
    /// Runs a chain of three services through a surge and a slow service, protected and not.
    cmd demo {
        /// Prints the table as JSON.
        optional --json
        /// Seed of arrivals and service times.
        optional --seed number: u64
    }
}

const WARM_UP: Duration = Duration::from_secs(1);
const PRESSURE: Duration = Duration::from_secs(3);
const AFTERMATH: Duration = Duration::from_secs(4);

/// What one run shows to a newcomer.
#[derive(Serialize)]
struct DemoRow {
    #[serde(flatten)]
    figures: RunFigures,
    counts: Vec<ClassReport>,
}

impl DemoRow {
    fn new(result: TrialResult) -> Self {
        Self {
            figures: result.figures,
            counts: result.report.classes,
        }
    }

    fn print(&self) {
        let figures = &self.figures;
        let recovery = figures
            .recovery_ms
            .map_or("never".into(), |time| format!("{time} ms"));
        println!(
            "{}, protection {}: back to normal after {recovery}",
            figures.scenario, figures.mode
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
    let plan = DeploymentPlan::demo();
    let capacity = probe_capacity(&plan, seed).await?;
    if !flags.json {
        let bottleneck = plan.bottleneck().name;
        println!("{bottleneck}, the last of three services, serves {capacity:.0} calls/s at most");
    }
    let mut rows = Vec::new();
    for kind in [PressureKind::Surge, PressureKind::SlowService] {
        let scenario = PressureScenario {
            warm_up: WARM_UP,
            pressure: PRESSURE,
            aftermath: AFTERMATH,
            ..PressureScenario::new(&[kind])
        };
        let trial = TrialRun {
            plan: &plan,
            scenario: &scenario,
            capacity,
            seed,
            events: None,
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

/// The promises that hold in any run, however slow the machine is.
fn check(rows: &[DemoRow]) -> anyhow::Result<()> {
    let protected = rows.iter().filter(|row| row.figures.mode == "on");
    for DemoRow { figures, counts } in protected {
        let whole: u64 = counts.iter().map(|class| class.succeeded).sum();
        ensure!(whole > 0, "{}: no whole answer", figures.scenario);
        ensure!(figures.doubled_keys == 0, "a purchase ran twice");
        ensure!(figures.false_not_run == 0, "told not-run what ran");
        ensure!(figures.wrong_answers == 0, "an answer was not whole");
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
        println!("\n{}", RunFigures::heading());
        for row in &rows {
            println!("{}", row.figures.line());
        }
    }
    check(&rows)?;
    Ok(ExitCode::SUCCESS)
}
