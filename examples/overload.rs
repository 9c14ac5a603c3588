//! Measures goodput and recovery of a deployment in small, with the protection off, with single
//! parts of it off, and on.

mod support;

use {
    anyhow::{Context, bail},
    banyantrestle::daemon::{DaemonFeature, DaemonOptions},
    std::{path::PathBuf, str::FromStr},
    strum::IntoEnumIterator,
    support::{
        DeploymentPlan, PressureKind, PressureScenario, RunFigures, TrialMode, TrialRun,
        probe_capacity,
    },
};

xflags::xflags! {
    /// Runs a deployment through overload and faults, and prints a line for each run.
    cmd overload {
        /// `kereru` or `kita`.
        required --deployment name: String
        /// Seed of arrivals and service times.
        required --seed number: u64
        /// Part to switch off: retry-budget, threshold, front-gate or sojourn; may be repeated,
        /// `none` for no run with a single part off. All parts by default.
        repeated --off part: String
        /// Pressures of one scenario, joined by `+`: surge, slow-service, lost-data-centre,
        /// table-down. All scenarios by default.
        optional --scenario name: String
        /// Only the runs with the whole protection on.
        optional --only-on
        /// Prints why calls were refused and which keys were doubled.
        optional --verbose
        /// Folder for the events of all daemons at the end of each run.
        optional --events folder: PathBuf
        /// Prints the figures as JSON.
        optional --json
    }
}

/// The protection without one of its parts.
fn without(feature: DaemonFeature) -> TrialMode {
    TrialMode::Daemons {
        name: format!("-{feature}"),
        options: DaemonOptions::without(&[feature]),
    }
}

impl Overload {
    fn plan(&self) -> anyhow::Result<DeploymentPlan> {
        match self.deployment.as_str() {
            "kereru" => Ok(DeploymentPlan::kereru()),
            "kita" => Ok(DeploymentPlan::kita()),
            other => bail!("deployment {other:?} is neither kereru nor kita"),
        }
    }

    fn scenarios(&self) -> anyhow::Result<Vec<PressureScenario>> {
        let Some(name) = &self.scenario else {
            return Ok(PressureScenario::all());
        };
        let kinds: Result<Vec<PressureKind>, _> = name.split('+').map(str::parse).collect();
        let kinds = kinds.with_context(|| format!("scenario {name:?}"))?;
        Ok(vec![PressureScenario::new(&kinds)])
    }

    fn modes(&self) -> anyhow::Result<Vec<TrialMode>> {
        if self.only_on {
            return Ok(vec![TrialMode::on()]);
        }
        let features: Vec<DaemonFeature> = match self.off.as_slice() {
            [] => DaemonFeature::iter().collect(),
            [none] if none == "none" => Vec::new(),
            names => {
                let features = names.iter().map(|name| {
                    DaemonFeature::from_str(name).with_context(|| format!("part {name:?}"))
                });
                features.collect::<anyhow::Result<_>>()?
            }
        };
        let mut modes = vec![TrialMode::Direct];
        modes.extend(features.into_iter().map(without));
        modes.push(TrialMode::on());
        Ok(modes)
    }
}

async fn run(flags: &Overload) -> anyhow::Result<Vec<RunFigures>> {
    let plan = flags.plan()?;
    let modes = flags.modes()?;
    let capacity = probe_capacity(&plan, flags.seed).await?;
    if !flags.json {
        let bottleneck = plan.bottleneck().name;
        println!(
            "{}: {bottleneck} serves {capacity:.0} calls/s at most",
            plan.name
        );
        println!("{}", RunFigures::heading());
    }
    let mut runs = Vec::new();
    for scenario in flags.scenarios()? {
        let trial = TrialRun {
            plan: &plan,
            scenario: &scenario,
            capacity,
            seed: flags.seed,
            events: flags.events.clone(),
        };
        for mode in &modes {
            let figures = trial.run(mode).await?.figures;
            if !flags.json {
                print(&figures, flags.verbose);
            }
            runs.push(figures);
        }
    }
    Ok(runs)
}

fn print(figures: &RunFigures, is_verbose: bool) {
    println!("{}", figures.line());
    if is_verbose {
        for (reason, count) in &figures.reasons {
            println!("    {count} refused: {reason}");
        }
        for runs in &figures.doubled_runs {
            println!("    doubled: {runs}");
        }
    }
    let classes: Vec<String> = figures.classes.iter().map(ToString::to_string).collect();
    println!("    {}", classes.join("  "));
    let missed: Vec<&str> = figures.missed().collect();
    if missed.is_empty() {
        println!("    all stated targets that apply met");
    } else {
        println!("    missed: {}", missed.join(", "));
    }
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let flags = Overload::from_env_or_exit();
    let runs = run(&flags).await?;
    if flags.json {
        println!("{}", serde_json::to_string_pretty(&runs)?);
    }
    Ok(())
}
