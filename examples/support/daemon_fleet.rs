use {
    super::{
        deployment_plan::{DeploymentPlan, ServicePlan},
        target_fleet::{PlacedTarget, slow_down},
    },
    anyhow::{Context, ensure},
    banyantrestle::daemon::{Daemon, DaemonOptions},
    standins::{
        client::{CallClient, CallPath, CallRouter, OutboundCall, TextRequest},
        deployment::{LOOPBACK, loopback_settings, write_initial_policy},
        platform::{DownMode, PlatformMode, PlatformStandin},
        process::wait_until,
        target::{RunLedger, TargetStandin},
    },
    std::{fs, net::SocketAddr, path::Path, time::Duration},
    tokio::{
        runtime::{Builder, Runtime},
        time::sleep,
    },
};

/// Time for all daemons to find each other.
const READY_LIMIT: Duration = Duration::from_secs(30);
/// Time after which the rest of the announcements have spread too.
const SPREAD_TIME: Duration = Duration::from_millis(1_500);
/// Events that each daemon keeps, enough for a run.
const KEPT_EVENTS: usize = 10_000;
const WORKERS_PER_DATA_CENTRE: usize = 2;

/// All VMs of one data centre, which go down together with the runtime.
#[derive(Debug)]
struct DataCentre {
    name: &'static str,
    runtime: Option<Runtime>,
    targets: Vec<PlacedTarget>,
    daemons: Vec<Daemon>,
}

/// A deployment with the platform's stand-in, and a daemon beside each target.
#[derive(Debug)]
pub struct DaemonFleet {
    pub ledger: RunLedger,
    pub platform: PlatformStandin,
    centres: Vec<DataCentre>,
    edges: Vec<SocketAddr>,
    options: DaemonOptions,
    /// Gossip addresses of the first daemons, for those that follow.
    peers: Vec<SocketAddr>,
}

impl DaemonFleet {
    pub async fn start(
        plan: &DeploymentPlan,
        options: DaemonOptions,
        seed: u64,
    ) -> anyhow::Result<Self> {
        let platform = PlatformStandin::start(LOOPBACK, PlatformMode::default()).await?;
        write_initial_policy(platform.address(), &plan.policy()).await?;
        let names = plan.data_centres.iter().copied();
        let centres: anyhow::Result<Vec<DataCentre>> = names.map(DataCentre::new).collect();
        let mut fleet = Self {
            ledger: RunLedger::default(),
            platform,
            centres: centres?,
            edges: Vec::new(),
            options,
            peers: Vec::new(),
        };
        for service in &plan.services {
            for number in 0..service.targets {
                let index = number % plan.data_centres.len();
                let seed = seed + fleet.edges.len() as u64;
                fleet.add_vm(plan, service, index, seed).await?;
            }
        }
        fleet.wait_until_ready(plan).await?;
        Ok(fleet)
    }

    async fn add_vm(
        &mut self,
        plan: &DeploymentPlan,
        service: &ServicePlan,
        index: usize,
        seed: u64,
    ) -> anyhow::Result<()> {
        let centre = &mut self.centres[index];
        let mut settings = loopback_settings(centre.name, self.platform.address(), &self.peers);
        settings.limits.events = KEPT_EVENTS;
        let runtime = centre.runtime.as_ref().context("a data centre that runs")?;
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let daemon = runtime.spawn(Daemon::start(settings, self.options.clone(), log));
        let daemon = daemon.await??;
        let listen = daemon.listen();
        let settings = service.settings(plan.deadline, seed);
        let ledger = self.ledger.clone();
        let target = runtime.spawn(TargetStandin::start_with_daemon(
            settings,
            listen.local,
            ledger,
        ));
        centre.targets.push(PlacedTarget {
            data_centre: index,
            target: target.await??,
        });
        self.edges.push(listen.edge);
        self.peers.push(listen.gossip);
        centre.daemons.push(daemon);
        Ok(())
    }

    /// Waits until a call through each daemon comes back whole.
    async fn wait_until_ready(&self, plan: &DeploymentPlan) -> anyhow::Result<()> {
        for (number, edge) in self.edges.iter().enumerate() {
            let client = CallClient::h2(CallRouter::daemons(vec![*edge]));
            let call = probe_call(plan, number);
            let is_ready = wait_until(READY_LIMIT, || async {
                client.call(&call).await.is_complete()
            });
            ensure!(is_ready.await, "the chain does not answer through {edge}");
        }
        sleep(SPREAD_TIME).await;
        self.ledger.clear();
        Ok(())
    }

    pub fn client(&self) -> CallClient {
        CallClient::h2(CallRouter::daemons(self.edges.clone()))
    }

    pub fn slow_down(&self, service: &str, factor: f64) {
        for centre in &self.centres {
            slow_down(&centre.targets, service, factor);
        }
    }

    pub fn stop_table(&self) {
        self.platform.set_mode(PlatformMode {
            down: DownMode::Close,
            ..PlatformMode::default()
        });
    }

    /// Writes the events of each daemon that runs into a file of its own.
    pub async fn save_events(&self, folder: &Path) -> anyhow::Result<()> {
        fs::create_dir_all(folder)?;
        let running = self
            .centres
            .iter()
            .filter(|centre| centre.runtime.is_some());
        for daemon in running.flat_map(|centre| &centre.daemons) {
            let listen = daemon.listen();
            let path = format!("/events?since=0&limit={KEPT_EVENTS}");
            let page = TextRequest::get(&path).send(listen.admin).await?;
            let name = format!("events-{}.json", listen.mesh.port());
            fs::write(folder.join(name), page.text)?;
        }
        Ok(())
    }

    /// Ends all VMs of a data centre at once, as a kill does.
    pub fn lose_data_centre(&mut self, data_centre: usize) {
        self.centres[data_centre].end();
    }

    pub async fn stop(mut self) {
        for centre in &mut self.centres {
            centre.end();
        }
        // The threads of the data centres end in the background.
        sleep(Duration::from_millis(100)).await;
    }
}

impl DataCentre {
    fn new(name: &'static str) -> anyhow::Result<Self> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(WORKERS_PER_DATA_CENTRE)
            .enable_all()
            .build()?;
        Ok(Self {
            name,
            runtime: Some(runtime),
            targets: Vec::new(),
            daemons: Vec::new(),
        })
    }

    fn end(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
        self.targets.clear();
        self.daemons.clear();
    }
}

impl Drop for DataCentre {
    fn drop(&mut self) {
        self.end();
    }
}

fn probe_call(plan: &DeploymentPlan, number: usize) -> OutboundCall {
    let class = plan.classes.last().expect("a plan has classes");
    let service = super::service_name(plan.services[0].name);
    let attempt = format!("ready-{number}");
    OutboundCall::get(&service, CallPath::new(class.name), &attempt, plan.deadline)
}
