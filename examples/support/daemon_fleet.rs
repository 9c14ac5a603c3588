use {
    super::{
        deployment_spec::{DeploymentSpec, ServiceSpec},
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

/// Limit on the wait for a daemon to find the others, so that a call through it succeeds.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Time for the remaining announcements to spread once a call through each daemon has succeeded.
const GOSSIP_SPREAD_TIME: Duration = Duration::from_millis(1_500);
/// Events that each daemon keeps; enough for one run.
const EVENT_CAPACITY: usize = 10_000;
const WORKER_THREADS_PER_DATA_CENTRE: usize = 2;

/// All VMs of one data centre. They share a runtime and stop with it.
#[derive(Debug)]
struct DataCentre {
    name: &'static str,
    runtime: Option<Runtime>,
    targets: Vec<PlacedTarget>,
    daemons: Vec<Daemon>,
}

/// A deployment with a stand-in for the platform and a daemon beside each target.
#[derive(Debug)]
pub struct DaemonFleet {
    pub ledger: RunLedger,
    pub platform: PlatformStandin,
    data_centres: Vec<DataCentre>,
    ingress_addresses: Vec<SocketAddr>,
    options: DaemonOptions,
    /// Gossip addresses of the daemons started so far, for the settings of the next ones.
    peers: Vec<SocketAddr>,
}

impl DaemonFleet {
    pub async fn start(
        spec: &DeploymentSpec,
        options: DaemonOptions,
        seed: u64,
    ) -> anyhow::Result<Self> {
        let platform = PlatformStandin::start(LOOPBACK, PlatformMode::default()).await?;
        write_initial_policy(platform.address(), &spec.policy()).await?;
        let names = spec.data_centres.iter().copied();
        let data_centres: anyhow::Result<Vec<DataCentre>> = names.map(DataCentre::new).collect();
        let mut fleet = Self {
            ledger: RunLedger::default(),
            platform,
            data_centres: data_centres?,
            ingress_addresses: Vec::new(),
            options,
            peers: Vec::new(),
        };
        for service in &spec.services {
            for number in 0..service.targets {
                let index = number % spec.data_centres.len();
                let seed = seed + fleet.ingress_addresses.len() as u64;
                fleet.add_vm(spec, service, index, seed).await?;
            }
        }
        fleet.wait_until_ready(spec).await?;
        Ok(fleet)
    }

    async fn add_vm(
        &mut self,
        spec: &DeploymentSpec,
        service: &ServiceSpec,
        index: usize,
        seed: u64,
    ) -> anyhow::Result<()> {
        let data_centre = &mut self.data_centres[index];
        let mut settings =
            loopback_settings(data_centre.name, self.platform.address(), &self.peers);
        settings.limits.events = EVENT_CAPACITY;
        let runtime = data_centre
            .runtime
            .as_ref()
            .context("the data centre of the new VM has stopped")?;
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let daemon = runtime.spawn(Daemon::start(settings, self.options.clone(), log));
        let daemon = daemon.await??;
        let listen = daemon.listen();
        let settings = service.target_settings(spec.deadline, seed);
        let ledger = self.ledger.clone();
        let target = runtime.spawn(TargetStandin::start_with_daemon(
            settings,
            listen.local,
            ledger,
        ));
        data_centre.targets.push(PlacedTarget {
            data_centre: index,
            target: target.await??,
        });
        self.ingress_addresses.push(listen.edge);
        self.peers.push(listen.gossip);
        data_centre.daemons.push(daemon);
        Ok(())
    }

    /// Waits until a call through each daemon succeeds, then clears the ledger.
    async fn wait_until_ready(&self, spec: &DeploymentSpec) -> anyhow::Result<()> {
        for (number, ingress) in self.ingress_addresses.iter().enumerate() {
            let client = CallClient::h2(CallRouter::daemons(vec![*ingress]));
            let call = probe_call(spec, number);
            let is_ready = wait_until(READY_TIMEOUT, || async {
                client.call(&call).await.is_complete()
            });
            ensure!(
                is_ready.await,
                "no successful call through the daemon at {ingress} within {READY_TIMEOUT:?}"
            );
        }
        sleep(GOSSIP_SPREAD_TIME).await;
        self.ledger.clear();
        Ok(())
    }

    pub fn client(&self) -> CallClient {
        CallClient::h2(CallRouter::daemons(self.ingress_addresses.clone()))
    }

    pub fn slow_down(&self, service: &str, factor: f64) {
        for data_centre in &self.data_centres {
            slow_down(&data_centre.targets, service, factor);
        }
    }

    pub fn stop_table(&self) {
        self.platform.set_mode(PlatformMode {
            down: DownMode::Close,
            ..PlatformMode::default()
        });
    }

    /// Writes the events of each running daemon to a separate file in `folder`.
    pub async fn save_events(&self, folder: &Path) -> anyhow::Result<()> {
        fs::create_dir_all(folder)?;
        let running = self
            .data_centres
            .iter()
            .filter(|data_centre| data_centre.runtime.is_some());
        for daemon in running.flat_map(|data_centre| &data_centre.daemons) {
            let listen = daemon.listen();
            let path = format!("/events?since=0&limit={EVENT_CAPACITY}");
            let page = TextRequest::get(&path).send(listen.admin).await?;
            let name = format!("events-{}.json", listen.mesh.port());
            fs::write(folder.join(name), page.text)?;
        }
        Ok(())
    }

    /// Stops all VMs of a data centre at once and without a drain, as SIGKILL does.
    pub fn stop_data_centre(&mut self, data_centre: usize) {
        self.data_centres[data_centre].stop();
    }

    pub async fn stop(mut self) {
        for data_centre in &mut self.data_centres {
            data_centre.stop();
        }
        // The runtimes of the data centres stop their threads in the background.
        sleep(Duration::from_millis(100)).await;
    }
}

impl DataCentre {
    fn new(name: &'static str) -> anyhow::Result<Self> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(WORKER_THREADS_PER_DATA_CENTRE)
            .enable_all()
            .build()?;
        Ok(Self {
            name,
            runtime: Some(runtime),
            targets: Vec::new(),
            daemons: Vec::new(),
        })
    }

    fn stop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
        self.targets.clear();
        self.daemons.clear();
    }
}

impl Drop for DataCentre {
    fn drop(&mut self) {
        self.stop();
    }
}

fn probe_call(spec: &DeploymentSpec, number: usize) -> OutboundCall {
    let class = spec
        .classes
        .last()
        .expect("a deployment has at least one class");
    let service = super::service_name(spec.services[0].name);
    let attempt = format!("ready-{number}");
    OutboundCall::get(&service, CallPath::new(class.name), &attempt, spec.deadline)
}
