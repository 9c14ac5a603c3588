//! Measures goodput and recovery of a scaled-down deployment: without daemons, with daemons that
//! have one feature disabled, and with daemons that have all features enabled.

mod support;

use {
    anyhow::{Context, bail},
    banyantrestle::daemon::{DaemonFeature, DaemonOptions},
    std::{path::PathBuf, str::FromStr},
    strum::IntoEnumIterator,
    support::{
        DeploymentSpec, PressureKind, PressureScenario, RunMeasurement, TrialMode, TrialRun,
        probe_capacity,
    },
};

xflags::xflags! {
    /// Runs a deployment through overload and faults and prints the results of each run.
    cmd overload {
        /// `kereru` or `kita`.
        required --deployment name: String
        /// Seed of arrivals and service times.
        required --seed number: u64
        /// Feature to disable in a separate run: retry-budget, threshold, front-gate or sojourn;
        /// may be given several times. `none` omits these runs. All features by default.
        repeated --off feature: String
        /// Runs only the scenario of these pressures, joined by `+`: surge, slow-service,
        /// lost-data-centre, table-down. All scenarios by default.
        optional --scenario name: String
        /// Runs only with all features enabled.
        optional --only-on
        /// Prints why calls were refused and which idempotency keys were executed more than once.
        optional --verbose
        /// Folder for the events of all daemons, written at the end of each run.
        optional --events folder: PathBuf
        /// Prints the results as JSON.
        optional --json
    }
}

/// Daemons with one feature disabled.
fn mode_without(feature: DaemonFeature) -> TrialMode {
    TrialMode::Daemons {
        name: format!("-{feature}"),
        options: DaemonOptions::without(&[feature]),
    }
}

impl Overload {
    fn spec(&self) -> anyhow::Result<DeploymentSpec> {
        match self.deployment.as_str() {
            "kereru" => Ok(DeploymentSpec::kereru()),
            "kita" => Ok(DeploymentSpec::kita()),
            other => bail!("unknown deployment {other:?}; expected kereru or kita"),
        }
    }

    fn scenarios(&self) -> anyhow::Result<Vec<PressureScenario>> {
        let Some(name) = &self.scenario else {
            return Ok(PressureScenario::all());
        };
        let kinds: Result<Vec<PressureKind>, _> = name.split('+').map(str::parse).collect();
        let kinds = kinds.with_context(|| format!("unknown pressure in scenario {name:?}"))?;
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
                    DaemonFeature::from_str(name)
                        .with_context(|| format!("unknown feature {name:?} in --off"))
                });
                features.collect::<anyhow::Result<_>>()?
            }
        };
        let mut modes = vec![TrialMode::Direct];
        modes.extend(features.into_iter().map(mode_without));
        modes.push(TrialMode::on());
        Ok(modes)
    }
}

async fn run(flags: &Overload) -> anyhow::Result<Vec<RunMeasurement>> {
    let spec = flags.spec()?;
    let modes = flags.modes()?;
    let capacity = probe_capacity(&spec, flags.seed).await?;
    if !flags.json {
        let bottleneck = spec.bottleneck().name;
        println!(
            "{}: {bottleneck} has a capacity of {capacity:.0} calls/s",
            spec.name
        );
        println!("{}", RunMeasurement::heading());
    }
    let mut runs = Vec::new();
    for scenario in flags.scenarios()? {
        let trial = TrialRun {
            spec: &spec,
            scenario: &scenario,
            capacity,
            seed: flags.seed,
            events_folder: flags.events.clone(),
        };
        for mode in &modes {
            let measurement = trial.run(mode).await?.measurement;
            if !flags.json {
                print_measurement(&measurement, flags.verbose);
            }
            runs.push(measurement);
        }
    }
    Ok(runs)
}

fn print_measurement(measurement: &RunMeasurement, is_verbose: bool) {
    println!("{}", measurement.line());
    if is_verbose {
        for (reason, count) in &measurement.reasons {
            println!("    {count} refused: {reason}");
        }
        for runs in &measurement.duplicate_runs {
            println!("    key executed more than once: {runs}");
        }
    }
    let classes: Vec<String> = measurement
        .classes
        .iter()
        .map(ToString::to_string)
        .collect();
    println!("    {}", classes.join("  "));
    let missed: Vec<&str> = measurement.missed().collect();
    if missed.is_empty() {
        println!("    all goals that apply to the scenario met");
    } else {
        println!("    missed goals: {}", missed.join(", "));
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
