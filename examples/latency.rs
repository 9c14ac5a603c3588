//! Measures what daemons add to a call, what they serve, and what they hold in memory.
//!
//! The daemons run as processes, from the program `banyantrestled` built beside this one; the
//! targets, the platform and the callers live in this process.

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
    support::{DeploymentPlan, service_name},
    tokio::time::sleep,
};

xflags::xflags! {
    /// Compares calls through daemons with the same calls sent straight.
    cmd latency {
        /// Calls of each latency measurement; 4000 by default.
        optional --calls count: u32
        /// Time of the throughput measurement, in s; 5 by default.
        optional --seconds seconds: u64
        /// Prints the figures as JSON.
        optional --json
    }
}

const CHAIN_LENGTH: usize = 6;
const OPEN_CONNECTIONS: usize = 860;
const PARALLEL_CALLERS: usize = 64;
const WARM_UP_CALLS: u32 = 200;
const SETTLE_TIME: Duration = Duration::from_secs(3);
const READY_LIMIT: Duration = Duration::from_secs(60);
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
const LONGEST_LATENCY_US: u64 = 10_000_000;

/// The chain of services, reachable through daemons and straight.
struct LatencyBench {
    _platform: PlatformStandin,
    daemons: Vec<DaemonProcess>,
    _targets: Vec<TargetStandin>,
    routes: DirectRoutes,
}

/// Latencies of the same calls, both ways.
#[derive(Clone, Copy, Debug, Serialize)]
struct LatencyPair {
    straight_p50_us: u64,
    straight_p99_us: u64,
    daemon_p50_us: u64,
    daemon_p99_us: u64,
    /// Calls between services in each measured call.
    hops: u64,
}

/// Figures of one run.
#[derive(Debug, Serialize)]
struct LatencyFigures {
    one_hop: LatencyPair,
    chain: LatencyPair,
    requests_per_second: f64,
    processor_us_per_request: f64,
    idle_kib: u64,
    connected_kib: u64,
}

impl LatencyPair {
    fn added_p50_us(&self) -> u64 {
        self.daemon_p50_us.saturating_sub(self.straight_p50_us) / self.hops
    }

    fn added_p99_us(&self) -> u64 {
        self.daemon_p99_us.saturating_sub(self.straight_p99_us) / self.hops
    }

    fn print(&self, name: &str) {
        println!(
            "{name}: straight p50 {} us, p99 {} us; through daemons p50 {} us, p99 {} us; \
             added for each call p50 {} us, p99 {} us",
            self.straight_p50_us,
            self.straight_p99_us,
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
    let program = folder.context("a build folder")?.join("banyantrestled");
    ensure!(
        program.exists(),
        "{} is not built: cargo build --release",
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
        write_initial_policy(platform.address(), &DeploymentPlan::demo().policy()).await?;
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
            let beside = TargetStandin::start_with_daemon(
                settings.clone(),
                daemon.listen.local,
                ledger.clone(),
            );
            targets.push(beside.await?);
            let onward = CallRouter::Direct(routes.clone());
            let straight = TargetStandin::start(settings, onward, ledger.clone()).await?;
            routes.add(service, straight.address());
            targets.push(straight);
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
        let is_ready = wait_until(READY_LIMIT, || async {
            client.call(&call).await.is_complete()
        });
        ensure!(
            is_ready.await,
            "the chain does not answer: {:?}",
            client.call(&call).await
        );
        sleep(SETTLE_TIME).await;
        Ok(())
    }

    /// Callers of the first daemon.
    fn daemon_client(&self) -> CallClient {
        CallClient::new(CallRouter::daemons(vec![self.daemons[0].listen.edge]))
    }

    fn straight_client(&self) -> CallClient {
        CallClient::new(CallRouter::Direct(self.routes.clone()))
    }

    /// Sends each call straight and through daemons, in turn.
    async fn compare(
        &self,
        calls: u32,
        hops: usize,
        call: impl Fn(&str) -> OutboundCall,
    ) -> anyhow::Result<LatencyPair> {
        let straight = self.straight_client();
        let daemons = self.daemon_client();
        let mut straight_times = Histogram::<u64>::new_with_max(LONGEST_LATENCY_US, 3)?;
        let mut daemon_times = straight_times.clone();
        for number in 0..calls + WARM_UP_CALLS {
            let call = call(&format!("latency-{hops}-{number}"));
            let straight_time = timed(&straight, &call).await?;
            let daemon_time = timed(&daemons, &call).await?;
            if number >= WARM_UP_CALLS {
                straight_times.saturating_record(straight_time);
                daemon_times.saturating_record(daemon_time);
            }
        }
        Ok(LatencyPair {
            straight_p50_us: straight_times.value_at_quantile(0.5),
            straight_p99_us: straight_times.value_at_quantile(0.99),
            daemon_p50_us: daemon_times.value_at_quantile(0.5),
            daemon_p99_us: daemon_times.value_at_quantile(0.99),
            hops: hops as u64,
        })
    }

    /// Requests a second through the first two daemons, and their processor time for each.
    async fn throughput(&self, time: Duration) -> anyhow::Result<(f64, f64)> {
        let client = self.daemon_client();
        let before = self.pair_processor()?;
        let started = Instant::now();
        let callers = (0..PARALLEL_CALLERS).map(|caller| {
            let client = client.clone();
            tokio::spawn(async move { call_for(&client, caller, started, time).await })
        });
        let mut calls = 0;
        for count in join_all(callers).await {
            calls += count??;
        }
        let elapsed = started.elapsed();
        let processor = self.pair_processor()?.saturating_sub(before);
        let rate = f64::from(calls) / elapsed.as_secs_f64();
        let share = processor.as_secs_f64() * 1e6 / f64::from(calls);
        Ok((rate, share))
    }

    fn pair_processor(&self) -> anyhow::Result<Duration> {
        let pair = self.daemons.iter().take(2);
        pair.map(|daemon| Ok(ProcessUsage::of(daemon.process.id())?.processor_time))
            .sum()
    }
}

/// Memory of a daemon of its own, idle and with open connections.
async fn memory() -> anyhow::Result<(u64, u64)> {
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
    let is_ready = wait_until(READY_LIMIT, || async {
        client.call(&first).await.is_complete()
    });
    ensure!(is_ready.await, "the daemon does not answer");
    sleep(SETTLE_TIME).await;
    let idle = ProcessUsage::of(daemon.process.id())?.resident_kib;
    // A client keeps the connection of each call that ran at the same time as the others.
    let clients: Vec<CallClient> = (0..OPEN_CONNECTIONS)
        .map(|_| CallClient::new(CallRouter::daemons(vec![daemon.listen.edge])))
        .collect();
    for (number, client) in clients.iter().enumerate() {
        let attempt = format!("open-{number}");
        let call = OutboundCall::get(&service, CallPath::new("x"), &attempt, CALL_TIMEOUT);
        let result = client.call(&call).await;
        ensure!(result.is_complete(), "connection {number}: {result:?}");
    }
    let connected = ProcessUsage::of(daemon.process.id())?.resident_kib;
    drop(clients);
    Ok((idle, connected))
}

async fn call_for(
    client: &CallClient,
    caller: usize,
    started: Instant,
    time: Duration,
) -> anyhow::Result<u32> {
    let mut calls = 0;
    while started.elapsed() < time {
        let call = hop_call(&format!("load-{caller}-{calls}"));
        let result = client.call(&call).await;
        ensure!(result.is_complete(), "{result:?}");
        calls += 1;
    }
    Ok(calls)
}

async fn timed(client: &CallClient, call: &OutboundCall) -> anyhow::Result<u64> {
    let started = Instant::now();
    let result = client.call(call).await;
    let time = started.elapsed();
    ensure!(result.is_complete(), "{result:?}");
    Ok(u64::try_from(time.as_micros())?)
}

/// A call of the second service, which the first daemon sends to the second.
fn hop_call(attempt: &str) -> OutboundCall {
    let service = &chain_names()[1];
    OutboundCall::get(service, CallPath::new("x"), attempt, CALL_TIMEOUT)
}

/// A call that crosses all services.
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
    let one_hop = bench.compare(calls, 1, hop_call).await?;
    let chain = bench.compare(calls / 2, CHAIN_LENGTH, chain_call).await?;
    let time = Duration::from_secs(flags.seconds.unwrap_or(5));
    let (requests_per_second, processor_us_per_request) = bench.throughput(time).await?;
    drop(bench);
    let (idle_kib, connected_kib) = memory().await?;
    let figures = LatencyFigures {
        one_hop,
        chain,
        requests_per_second,
        processor_us_per_request,
        idle_kib,
        connected_kib,
    };
    if flags.json {
        println!("{}", serde_json::to_string_pretty(&figures)?);
        return Ok(());
    }
    one_hop.print("one hop");
    chain.print("chain of six");
    println!("one pair of daemons: {requests_per_second:.0} requests/s");
    println!("processor time of the pair: {processor_us_per_request:.0} us for each request");
    println!(
        "memory of a daemon: idle {idle_kib} KiB, with {OPEN_CONNECTIONS} connections {connected_kib} KiB"
    );
    Ok(())
}
