//! Measures the latency that daemons add to a call, their throughput and their memory.
//!
//! The daemons run as processes of the program `banyantrestled` from the same build folder. The
//! targets, the platform and the callers run in this process.

mod support;

use {
    anyhow::{Context, ensure},
    banyantrestle::context::ServiceName,
    futures_util::future::join_all,
    hdrhistogram::Histogram,
    serde::Serialize,
    standins::{
        client::{CallClient, CallPath, CallRouter, DirectRoutes, OutboundCall},
        deployment::{DaemonProcess, LOOPBACK, loopback_settings, write_initial_policy},
        platform::{PlatformMode, PlatformStandin},
        process::{ProcessUsage, wait_until},
        target::{RunLedger, TargetSettings, TargetStandin},
    },
    std::{
        env,
        path::PathBuf,
        time::{Duration, Instant},
    },
    support::{DeploymentSpec, service_name},
    tokio::time::sleep,
};

xflags::xflags! {
    /// Compares calls through daemons with the same calls sent directly to the targets.
    cmd latency {
        /// Calls of each latency measurement; 4000 by default.
        optional --calls count: u32
        /// Length of the throughput measurement, in s; 5 by default.
        optional --seconds seconds: u64
        /// Prints the results as JSON.
        optional --json
    }
}

/// Services in the chain.
const CHAIN_LENGTH: usize = 6;
/// Open client connections in the memory measurement.
const CLIENT_CONNECTIONS: usize = 860;
/// Concurrent callers in the throughput measurement.
const PARALLEL_CALLERS: usize = 64;
/// Calls at the start of each latency measurement that are not recorded.
const WARM_UP_CALLS: u32 = 200;
/// Wait between the first successful call and the measurements.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Limit on the wait for the first successful call.
const READY_TIMEOUT: Duration = Duration::from_secs(60);
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Upper limit of the latency histograms.
const MAX_LATENCY_US: u64 = 10_000_000;

/// Chain of services that is reachable through daemons and directly.
struct LatencyBench {
    _platform: PlatformStandin,
    daemons: Vec<DaemonProcess>,
    _targets: Vec<TargetStandin>,
    routes: DirectRoutes,
}

/// Latencies of the same calls, sent directly and through daemons, in us.
#[derive(Clone, Copy, Debug, Serialize)]
struct LatencyComparison {
    #[serde(rename = "straight_p50_us")]
    direct_p50_us: u64,
    #[serde(rename = "straight_p99_us")]
    direct_p99_us: u64,
    daemon_p50_us: u64,
    daemon_p99_us: u64,
    /// Service calls that make up one measured call.
    hops: u64,
}

/// Results of one run.
#[derive(Debug, Serialize)]
struct LatencyMeasurement {
    one_hop: LatencyComparison,
    chain: LatencyComparison,
    /// Throughput of two daemons.
    requests_per_second: f64,
    /// Processor time of the two daemons together, in us.
    processor_us_per_request: f64,
    /// Resident memory of an idle daemon.
    idle_kib: u64,
    /// Resident memory of a daemon with [`CLIENT_CONNECTIONS`] client connections.
    connected_kib: u64,
}

impl LatencyComparison {
    /// Added latency per service call.
    fn added_p50_us(&self) -> u64 {
        self.daemon_p50_us.saturating_sub(self.direct_p50_us) / self.hops
    }

    /// Added latency per service call.
    fn added_p99_us(&self) -> u64 {
        self.daemon_p99_us.saturating_sub(self.direct_p99_us) / self.hops
    }

    fn print(&self, name: &str) {
        println!(
            "{name}: direct p50 {} us, p99 {} us; through daemons p50 {} us, p99 {} us; \
             added per service call p50 {} us, p99 {} us",
            self.direct_p50_us,
            self.direct_p99_us,
            self.daemon_p50_us,
            self.daemon_p99_us,
            self.added_p50_us(),
            self.added_p99_us(),
        );
    }
}

fn daemon_program() -> anyhow::Result<PathBuf> {
    let own = env::current_exe()?;
    let folder = own.parent().and_then(|folder| folder.parent());
    let program = folder
        .context("this executable is not in a build folder")?
        .join("banyantrestled");
    ensure!(
        program.exists(),
        "{} does not exist; build it with `cargo build --release`",
        program.display()
    );
    Ok(program)
}

fn chain_names() -> Vec<ServiceName> {
    let names = (1..=CHAIN_LENGTH).map(|number| service_name(&format!("service-{number}")));
    names.collect()
}

impl LatencyBench {
    async fn start() -> anyhow::Result<Self> {
        let program = daemon_program()?;
        let platform = PlatformStandin::start(LOOPBACK, PlatformMode::default()).await?;
        write_initial_policy(platform.address(), &DeploymentSpec::demo().policy()).await?;
        let routes = DirectRoutes::new(1);
        let ledger = RunLedger::default();
        let mut daemons: Vec<DaemonProcess> = Vec::new();
        let mut targets = Vec::new();
        for service in &chain_names() {
            let peers: Vec<_> = daemons.iter().map(|daemon| daemon.listen.gossip).collect();
            let settings = loopback_settings("dc-1", platform.address(), &peers);
            let daemon = DaemonProcess::start(&program, &settings)?;
            let mut settings = TargetSettings::new(service);
            settings.mean_service_time = Duration::ZERO;
            settings.slots = 200;
            let daemon_target = TargetStandin::start_with_daemon(
                settings.clone(),
                daemon.listen.local,
                ledger.clone(),
            );
            targets.push(daemon_target.await?);
            let outbound_router = CallRouter::Direct(routes.clone());
            let direct_target =
                TargetStandin::start(settings, outbound_router, ledger.clone()).await?;
            routes.add(service, direct_target.address());
            targets.push(direct_target);
            daemons.push(daemon);
        }
        let bench = Self {
            _platform: platform,
            daemons,
            _targets: targets,
            routes,
        };
        bench.wait_until_ready().await?;
        Ok(bench)
    }

    async fn wait_until_ready(&self) -> anyhow::Result<()> {
        let client = self.daemon_client();
        let call = chain_call("ready");
        let is_ready = wait_until(READY_TIMEOUT, || async {
            client.call(&call).await.is_complete()
        });
        ensure!(
            is_ready.await,
            "no successful call through the chain within {READY_TIMEOUT:?}; last result: {:?}",
            client.call(&call).await
        );
        sleep(SETTLE_TIME).await;
        Ok(())
    }

    /// Client of the first daemon.
    fn daemon_client(&self) -> CallClient {
        CallClient::new(CallRouter::daemons(vec![self.daemons[0].listen.edge]))
    }

    fn direct_client(&self) -> CallClient {
        CallClient::new(CallRouter::Direct(self.routes.clone()))
    }

    /// Sends each call directly and then through daemons.
    async fn compare_latency(
        &self,
        calls: u32,
        hops: usize,
        call: impl Fn(&str) -> OutboundCall,
    ) -> anyhow::Result<LatencyComparison> {
        let direct = self.direct_client();
        let daemons = self.daemon_client();
        let mut direct_latencies = Histogram::<u64>::new_with_max(MAX_LATENCY_US, 3)?;
        let mut daemon_latencies = direct_latencies.clone();
        for number in 0..calls + WARM_UP_CALLS {
            let call = call(&format!("latency-{hops}-{number}"));
            let direct_latency = measure_call_us(&direct, &call).await?;
            let daemon_latency = measure_call_us(&daemons, &call).await?;
            if number >= WARM_UP_CALLS {
                direct_latencies.saturating_record(direct_latency);
                daemon_latencies.saturating_record(daemon_latency);
            }
        }
        Ok(LatencyComparison {
            direct_p50_us: direct_latencies.value_at_quantile(0.5),
            direct_p99_us: direct_latencies.value_at_quantile(0.99),
            daemon_p50_us: daemon_latencies.value_at_quantile(0.5),
            daemon_p99_us: daemon_latencies.value_at_quantile(0.99),
            hops: hops as u64,
        })
    }

    /// Measures the requests per second through the first two daemons, and the processor time of
    /// both per request, in us.
    async fn measure_throughput(&self, time: Duration) -> anyhow::Result<(f64, f64)> {
        let client = self.daemon_client();
        let before = self.processor_time()?;
        let started = Instant::now();
        let callers = (0..PARALLEL_CALLERS).map(|caller| {
            let client = client.clone();
            tokio::spawn(async move { send_calls(&client, caller, started, time).await })
        });
        let mut calls = 0;
        for count in join_all(callers).await {
            calls += count??;
        }
        let elapsed = started.elapsed();
        let processor = self.processor_time()?.saturating_sub(before);
        let rate = f64::from(calls) / elapsed.as_secs_f64();
        let share = processor.as_secs_f64() * 1e6 / f64::from(calls);
        Ok((rate, share))
    }

    /// Processor time of the first two daemons so far.
    fn processor_time(&self) -> anyhow::Result<Duration> {
        let pair = self.daemons.iter().take(2);
        pair.map(|daemon| Ok(ProcessUsage::of(daemon.process.id())?.processor_time))
            .sum()
    }
}

/// Measures the resident memory of a separate daemon, idle and with open client connections, in
/// KiB.
async fn measure_memory() -> anyhow::Result<(u64, u64)> {
    let program = daemon_program()?;
    let platform = PlatformStandin::start(LOOPBACK, PlatformMode::default()).await?;
    let settings = loopback_settings("dc-1", platform.address(), &[]);
    let daemon = DaemonProcess::start(&program, &settings)?;
    let ledger = RunLedger::default();
    let service = service_name("service-1");
    let settings = TargetSettings::new(&service);
    let _target = TargetStandin::start_with_daemon(settings, daemon.listen.local, ledger).await?;
    let client = CallClient::new(CallRouter::daemons(vec![daemon.listen.edge]));
    let first = OutboundCall::get(&service, CallPath::new("x"), "first", CALL_TIMEOUT);
    let is_ready = wait_until(READY_TIMEOUT, || async {
        client.call(&first).await.is_complete()
    });
    ensure!(
        is_ready.await,
        "no successful call through the daemon within {READY_TIMEOUT:?}"
    );
    sleep(SETTLE_TIME).await;
    let idle = ProcessUsage::of(daemon.process.id())?.resident_kib;
    // A client opens a further connection only for calls that run at the same time. These calls run
    // one after the other, so each connection needs its own client.
    let clients: Vec<CallClient> = (0..CLIENT_CONNECTIONS)
        .map(|_| CallClient::new(CallRouter::daemons(vec![daemon.listen.edge])))
        .collect();
    for (number, client) in clients.iter().enumerate() {
        let attempt = format!("open-{number}");
        let call = OutboundCall::get(&service, CallPath::new("x"), &attempt, CALL_TIMEOUT);
        let result = client.call(&call).await;
        ensure!(
            result.is_complete(),
            "call on connection {number} failed: {result:?}"
        );
    }
    let connected = ProcessUsage::of(daemon.process.id())?.resident_kib;
    drop(clients);
    Ok((idle, connected))
}

/// Sends calls one after the other until `time` has passed since `started`, and counts them.
async fn send_calls(
    client: &CallClient,
    caller: usize,
    started: Instant,
    time: Duration,
) -> anyhow::Result<u32> {
    let mut calls = 0;
    while started.elapsed() < time {
        let call = hop_call(&format!("load-{caller}-{calls}"));
        let result = client.call(&call).await;
        ensure!(
            result.is_complete(),
            "call in the throughput measurement failed: {result:?}"
        );
        calls += 1;
    }
    Ok(calls)
}

async fn measure_call_us(client: &CallClient, call: &OutboundCall) -> anyhow::Result<u64> {
    let started = Instant::now();
    let result = client.call(call).await;
    let time = started.elapsed();
    ensure!(
        result.is_complete(),
        "call in the latency measurement failed: {result:?}"
    );
    Ok(u64::try_from(time.as_micros())?)
}

/// A call to the second service, which the first daemon forwards to the second.
fn hop_call(attempt: &str) -> OutboundCall {
    let service = &chain_names()[1];
    OutboundCall::get(service, CallPath::new("x"), attempt, CALL_TIMEOUT)
}

/// A call that passes through all services.
fn chain_call(attempt: &str) -> OutboundCall {
    let mut names = chain_names();
    let first = names.remove(0);
    let path = CallPath::new("x").with_via(names);
    OutboundCall::get(&first, path, attempt, CALL_TIMEOUT)
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let flags = Latency::from_env_or_exit();
    let calls = flags.calls.unwrap_or(4_000);
    let bench = LatencyBench::start().await?;
    let one_hop = bench.compare_latency(calls, 1, hop_call).await?;
    let chain = bench
        .compare_latency(calls / 2, CHAIN_LENGTH, chain_call)
        .await?;
    let time = Duration::from_secs(flags.seconds.unwrap_or(5));
    let (requests_per_second, processor_us_per_request) = bench.measure_throughput(time).await?;
    drop(bench);
    let (idle_kib, connected_kib) = measure_memory().await?;
    let measurement = LatencyMeasurement {
        one_hop,
        chain,
        requests_per_second,
        processor_us_per_request,
        idle_kib,
        connected_kib,
    };
    if flags.json {
        println!("{}", serde_json::to_string_pretty(&measurement)?);
        return Ok(());
    }
    one_hop.print("one hop");
    chain.print("chain of six");
    println!("throughput of two daemons: {requests_per_second:.0} requests/s");
    println!("processor time of two daemons: {processor_us_per_request:.0} us per request");
    println!(
        "resident memory of a daemon: idle {idle_kib} KiB, \
         with {CLIENT_CONNECTIONS} connections {connected_kib} KiB"
    );
    Ok(())
}
