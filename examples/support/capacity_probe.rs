use {
    super::deployment_spec::DeploymentSpec,
    futures_util::future::join_all,
    standins::{
        client::{CallClient, CallPath, CallRouter, DirectRoutes, OutboundCall},
        target::{RunLedger, TargetStandin},
    },
    std::time::{Duration, Instant},
};

/// Length of the measurement.
const PROBE_DURATION: Duration = Duration::from_secs(2);
/// Concurrent callers for each slot of the bottleneck.
const CALLERS_PER_SLOT: u32 = 3;
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Measures the calls per second that the bottleneck serves when its slots are never idle.
///
/// The calls go directly to its targets.
pub async fn probe_capacity(spec: &DeploymentSpec, seed: u64) -> anyhow::Result<f64> {
    let service = spec.bottleneck();
    let routes = DirectRoutes::new(1);
    let ledger = RunLedger::default();
    let mut targets = Vec::new();
    for number in 0..service.targets {
        let mut settings = service.target_settings(spec.deadline, seed + number as u64);
        settings.called_services.clear();
        let outbound_router = CallRouter::Direct(routes.clone());
        let target = TargetStandin::start(settings, outbound_router, ledger.clone()).await?;
        routes.add(target.service_name(), target.address());
        targets.push(target);
    }
    let client = CallClient::new(CallRouter::Direct(routes));
    let callers = service.slots * CALLERS_PER_SLOT * u32::try_from(service.targets)?;
    let started = Instant::now();
    let probes = (0..callers).map(|caller| send_calls(&client, &targets[0], caller, started));
    let counts = join_all(probes).await;
    let calls: u32 = counts.into_iter().sum();
    Ok(f64::from(calls) / PROBE_DURATION.as_secs_f64())
}

/// Sends calls one after the other and counts those that succeed within [`PROBE_DURATION`].
async fn send_calls(
    client: &CallClient,
    target: &TargetStandin,
    caller: u32,
    started: Instant,
) -> u32 {
    let mut calls = 0;
    loop {
        let attempt = format!("probe-{caller}-{calls}");
        let path = CallPath::new("probe");
        let call = OutboundCall::get(target.service_name(), path, &attempt, CALL_TIMEOUT);
        let result = client.call(&call).await;
        if started.elapsed() >= PROBE_DURATION {
            return calls;
        }
        calls += u32::from(result.is_complete());
    }
}
