//! Runs one stand-in target and announces it to a daemon.

use {
    anyhow::Context,
    banyantrestle::context::ServiceName,
    standins::{
        client::CallRouter,
        http::shutdown_signal,
        target::{RunLedger, TargetSettings, TargetStandin},
    },
    std::{net::SocketAddr, time::Duration},
};

xflags::xflags! {
    /// Runs a target that announces itself to a daemon; POST /control changes its behaviour.
    cmd standin-target {
        /// Name of the target's service.
        required --service name: String
        /// Address of the daemon's `local` listener; without it nothing is announced.
        optional --daemon address: SocketAddr
        /// Address to listen on; a free loopback port by default.
        optional --listen address: SocketAddr
        /// Number of calls that run concurrently; 20 by default.
        optional --slots count: u32
        /// Maximum number of open connections; 1024 by default.
        optional --connections count: u32
        /// Mean service time in ms; 10 by default.
        optional --service-ms ms: u64
        /// Service that the target calls for each call; may be repeated.
        repeated --call name: String
        /// Makes the calls to other services concurrently.
        optional --fan-out
        /// Time after the start during which the service time is longer, in s; 0 by default.
        optional --cold-s seconds: u64
        /// Age of the reported load and health, in ms; 0 by default.
        optional --report-lag-ms ms: u64
        /// Seed of the service times.
        optional --seed number: u64
    }
}

fn settings(flags: &StandinTarget) -> anyhow::Result<TargetSettings> {
    let service = ServiceName::new(&flags.service)?;
    let mut settings = TargetSettings::new(&service);
    settings.listen = flags.listen.unwrap_or(settings.listen);
    settings.slots = flags.slots.unwrap_or(settings.slots);
    settings.connections = flags.connections.unwrap_or(settings.connections);
    settings.seed = flags.seed.unwrap_or(settings.seed);
    settings.is_fan_out = flags.fan_out;
    settings.cold_start = Duration::from_secs(flags.cold_s.unwrap_or(0));
    settings.report_lag = Duration::from_millis(flags.report_lag_ms.unwrap_or(0));
    if let Some(ms) = flags.service_ms {
        settings.mean_service_time = Duration::from_millis(ms);
    }
    for name in &flags.call {
        settings.called_services.push(ServiceName::new(name)?);
    }
    Ok(settings)
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let flags = StandinTarget::from_env_or_exit();
    let settings = settings(&flags)?;
    let router = CallRouter::daemons(flags.daemon.into_iter().collect());
    let ledger = RunLedger::default();
    let target = TargetStandin::start(settings, router, ledger).await;
    let mut target = target.context("failed to bind the listen address")?;
    let address = target.address();
    if let Some(daemon) = flags.daemon {
        target.announce(daemon, address);
    }
    println!("{{\"address\":\"{address}\"}}");
    shutdown_signal().await?;
    target.shutdown().await;
    Ok(())
}
