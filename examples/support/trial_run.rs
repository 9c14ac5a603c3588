use {
    super::{
        daemon_fleet::DaemonFleet,
        deployment_spec::DeploymentSpec,
        pressure_scenario::{PressureKind, PressureScenario},
        run_measurement::{RunMeasurement, RunRecords},
        target_fleet::TargetFleet,
    },
    banyantrestle::daemon::DaemonOptions,
    standins::{
        caller::{CallerFleet, CallerReport, RetryStrategy},
        client::CallClient,
        target::RunLedger,
    },
    std::{path::PathBuf, time::Duration},
    tokio::time::sleep,
};

/// Factor on the service time of a slow service.
pub const SLOWDOWN_FACTOR: f64 = 10.0;

/// Demand outside a surge, as a share of the bottleneck's capacity. With one of four data centres
/// lost, it is four fifths of the remaining capacity.
const NORMAL_LOAD: f64 = 0.6;
/// Demand in a surge, as a multiple of the bottleneck's capacity.
const SURGE_LOAD: f64 = 3.0;
/// Attempts of one request by a caller that retries at once, the first included.
const CALLER_ATTEMPTS: u32 = 4;
/// Index of the data centre that is lost.
const LOST_DATA_CENTRE_INDEX: usize = 1;

/// How calls reach the targets.
#[derive(Clone, Debug)]
pub enum TrialMode {
    /// Without daemons: callers and targets call the targets directly, and each hop retries.
    Direct,
    /// Through daemons with these options.
    Daemons {
        /// Name of the mode in the results.
        name: String,
        options: DaemonOptions,
    },
}

impl TrialMode {
    pub fn on() -> Self {
        Self::Daemons {
            name: "on".into(),
            options: DaemonOptions::default(),
        }
    }

    fn name(&self) -> String {
        match self {
            Self::Direct => "off".into(),
            Self::Daemons { name, .. } => name.clone(),
        }
    }
}

/// One scenario on one deployment, to be run in one or more modes.
pub struct TrialRun<'a> {
    pub spec: &'a DeploymentSpec,
    pub scenario: &'a PressureScenario,
    /// Calls per second that the bottleneck serves without faults.
    pub capacity: f64,
    pub seed: u64,
    /// Folder for the events of all daemons, written at the end of each run.
    pub events_folder: Option<PathBuf>,
}

enum TrialFleet {
    Direct(TargetFleet),
    Daemons(Box<DaemonFleet>),
}

impl TrialRun<'_> {
    /// Runs the scenario in one mode and measures the results.
    pub async fn run(&self, mode: &TrialMode) -> anyhow::Result<TrialResult> {
        let has_table = !self.scenario.includes(PressureKind::TableDown);
        let mut fleet = self.start(mode).await?;
        if !has_table {
            fleet.stop_table();
        }
        let report = self.apply_pressure(&mut fleet).await;
        let records = RunRecords {
            spec: self.spec,
            scenario: self.scenario,
            mode: mode.name(),
            capacity: self.capacity,
            report: &report,
            ledger: fleet.ledger(),
        };
        let measurement = records.measurement();
        if let (Some(folder), TrialFleet::Daemons(fleet)) = (&self.events_folder, &fleet) {
            let name = format!("{}-{}", measurement.scenario, measurement.mode);
            fleet.save_events(&folder.join(name)).await?;
        }
        fleet.stop().await;
        Ok(TrialResult {
            measurement,
            report,
        })
    }

    async fn start(&self, mode: &TrialMode) -> anyhow::Result<TrialFleet> {
        Ok(match mode {
            TrialMode::Direct => {
                TrialFleet::Direct(TargetFleet::start(self.spec, self.seed).await?)
            }
            TrialMode::Daemons { options, .. } => {
                let fleet = DaemonFleet::start(self.spec, options.clone(), self.seed).await?;
                TrialFleet::Daemons(Box::new(fleet))
            }
        })
    }

    /// Starts the callers and runs the fleet through the phases of the scenario.
    async fn apply_pressure(&self, fleet: &mut TrialFleet) -> CallerReport {
        let strategy = RetryStrategy::Immediate {
            attempts: CALLER_ATTEMPTS,
        };
        let rate = self.capacity * NORMAL_LOAD;
        let settings = self.spec.caller_settings(rate, strategy, self.seed);
        let callers = CallerFleet::start(settings, fleet.client());
        let bottleneck = self.spec.bottleneck().name;
        sleep_until(&callers, self.scenario.warm_up).await;
        if self.scenario.includes(PressureKind::Surge) {
            callers.set_rate_factor(SURGE_LOAD / NORMAL_LOAD);
        }
        if self.scenario.includes(PressureKind::SlowService) {
            fleet.slow_down(bottleneck, SLOWDOWN_FACTOR);
        }
        if self.scenario.includes(PressureKind::LostDataCentre) {
            fleet.stop_data_centre(LOST_DATA_CENTRE_INDEX);
        }
        sleep_until(&callers, self.scenario.warm_up + self.scenario.pressure).await;
        callers.set_rate_factor(1.0);
        if self.scenario.includes(PressureKind::SlowService) {
            fleet.slow_down(bottleneck, 1.0);
        }
        sleep_until(&callers, self.scenario.duration()).await;
        callers.stop().await
    }
}

/// Results of a run and the report of its callers.
pub struct TrialResult {
    pub measurement: RunMeasurement,
    pub report: CallerReport,
}

impl TrialFleet {
    fn client(&self) -> CallClient {
        match self {
            Self::Direct(fleet) => fleet.client(),
            Self::Daemons(fleet) => fleet.client(),
        }
    }

    fn ledger(&self) -> &RunLedger {
        match self {
            Self::Direct(fleet) => &fleet.ledger,
            Self::Daemons(fleet) => &fleet.ledger,
        }
    }

    fn slow_down(&self, service: &str, factor: f64) {
        match self {
            Self::Direct(fleet) => fleet.slow_down(service, factor),
            Self::Daemons(fleet) => fleet.slow_down(service, factor),
        }
    }

    fn stop_data_centre(&mut self, data_centre: usize) {
        match self {
            Self::Direct(fleet) => fleet.stop_data_centre(data_centre),
            Self::Daemons(fleet) => fleet.stop_data_centre(data_centre),
        }
    }

    fn stop_table(&self) {
        if let Self::Daemons(fleet) = self {
            fleet.stop_table();
        }
    }

    async fn stop(self) {
        if let Self::Daemons(fleet) = self {
            fleet.stop().await;
        }
    }
}

async fn sleep_until(callers: &CallerFleet, time: Duration) {
    sleep(time.saturating_sub(callers.elapsed())).await;
}
