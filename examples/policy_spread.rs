//! Measures the time from the acceptance of a policy until each daemon enforces it.
//!
//! All daemons run in this process and communicate over UDP and TCP on loopback. The platform is
//! replaced by a stand-in. Each time is the difference between the wall clock times of two events,
//! in ms.

use {
    anyhow::{Context, ensure},
    banyantrestle::{
        context::ServiceName,
        daemon::{Daemon, DaemonOptions},
        events::{EventKind, EventPage},
        policy::{PolicyDocument, RoutePolicy},
    },
    http::{Method, StatusCode},
    serde_json::json,
    slog::{Discard, Logger, o},
    standins::{
        client::TextRequest,
        deployment::{ADMIN_TOKEN, LOOPBACK, loopback_settings},
        platform::{PlatformMode, PlatformStandin},
    },
    std::{net::SocketAddr, time::Duration},
    tokio::time::{Instant, sleep},
};

/// Number of daemons if `--daemons` is absent.
const DEFAULT_DAEMONS: usize = 40;
/// Number of policy changes if `--changes` is absent.
const DEFAULT_CHANGES: u64 = 20;
/// Number of routes in the policy document.
const ROUTES: usize = 100;
/// Pause after a change is enforced everywhere, before the next one.
const CHANGE_PAUSE: Duration = Duration::from_secs(1);
/// Longest wait until all daemons enforce a version.
const ENFORCEMENT_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval between two queries of a daemon's policy version.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of events that are read from each daemon.
const EVENT_PAGE_LIMIT: usize = 5_000;

xflags::xflags! {
    /// Measures the time until each daemon enforces a new policy.
    cmd policy-spread {
        /// Number of daemons; 40 if absent.
        optional --daemons count: usize
        /// Number of policy changes; 20 if absent.
        optional --changes count: u64
    }
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let flags = PolicySpread::from_env_or_exit();
    let count = flags.daemons.unwrap_or(DEFAULT_DAEMONS);
    let changes = flags.changes.unwrap_or(DEFAULT_CHANGES);
    ensure!(
        count > 0 && changes > 0,
        "--daemons and --changes must be at least 1"
    );
    let platform = PlatformStandin::start(LOOPBACK, PlatformMode::default()).await?;
    let daemons = start_daemons(count, platform.address()).await?;
    for version in 1..=changes {
        let submitter = &daemons[usize::try_from(version)? % count];
        submit(submitter.listen().admin, version).await?;
        wait_until_enforced(&daemons, version).await?;
        sleep(CHANGE_PAUSE).await;
    }
    let times_ms = spread_times_ms(&daemons, changes).await?;
    print_times(count, changes, &times_ms)
}

async fn start_daemons(count: usize, platform: SocketAddr) -> anyhow::Result<Vec<Daemon>> {
    let mut daemons = Vec::with_capacity(count);
    for _ in 0..count {
        let settings = loopback_settings("dc-1", platform, &[]);
        let log = Logger::root(Discard, o!());
        daemons.push(Daemon::start(settings, DaemonOptions::default(), log).await?);
    }
    for daemon in &daemons {
        daemon.ready().await;
    }
    Ok(daemons)
}

/// Submits the policy document of `version` to a daemon.
async fn submit(admin: SocketAddr, version: u64) -> anyhow::Result<()> {
    let body = json!({"base_version": version - 1, "document": document(version)?});
    let request = TextRequest {
        method: Method::POST,
        path: "/api/policy".into(),
        headers: vec![("authorization", format!("Bearer {ADMIN_TOKEN}"))],
        body: body.to_string(),
    };
    let response = request.send(admin).await?;
    ensure!(
        response.status == StatusCode::OK,
        "{admin} did not accept policy version {version}: {response:?}"
    );
    Ok(())
}

fn document(version: u64) -> anyhow::Result<PolicyDocument> {
    let mut document = PolicyDocument::built_in();
    document.deployment = "spread".into();
    document.classes[0].deadline_ms = 10_000 + version;
    let class = document.default_class.clone();
    let service = ServiceName::new("catalogue")?;
    let routes = (0..ROUTES).map(|number| RoutePolicy {
        service: service.clone(),
        method: Some("GET".into()),
        path: format!("/page-{number}"),
        class: class.clone(),
    });
    document.routes = routes.collect();
    Ok(document)
}

async fn wait_until_enforced(daemons: &[Daemon], version: u64) -> anyhow::Result<()> {
    let deadline = Instant::now() + ENFORCEMENT_TIMEOUT;
    for daemon in daemons {
        let admin = daemon.listen().admin;
        while enforced_version(admin).await? < version {
            ensure!(
                Instant::now() < deadline,
                "{admin} did not enforce policy version {version} within {ENFORCEMENT_TIMEOUT:?}"
            );
            sleep(POLL_INTERVAL).await;
        }
    }
    Ok(())
}

async fn enforced_version(admin: SocketAddr) -> anyhow::Result<u64> {
    let response = TextRequest::get("/api/policy").send(admin).await?;
    let view: serde_json::Value = serde_json::from_str(&response.text)?;
    view["version"]
        .as_u64()
        .context("the policy response has no version number")
}

/// Returns the time from acceptance to enforcement of each change at each daemon, in ms, ascending.
async fn spread_times_ms(daemons: &[Daemon], changes: u64) -> anyhow::Result<Vec<u64>> {
    let mut accepted_ms = vec![0; usize::try_from(changes)? + 1];
    let mut enforced = Vec::new();
    for daemon in daemons {
        let path = format!("/events?limit={EVENT_PAGE_LIMIT}");
        let response = TextRequest::get(&path).send(daemon.listen().admin).await?;
        for record in EventPage::decode(response.text.as_bytes())?.events {
            let wall_ms = record.stamp.wall_ms;
            match record.kind {
                EventKind::PolicyAccepted { version, .. } => {
                    accepted_ms[usize::try_from(version)?] = wall_ms;
                }
                EventKind::PolicyEnforced { version, .. } => enforced.push((version, wall_ms)),
                _ => {}
            }
        }
    }
    let mut times_ms = Vec::with_capacity(enforced.len());
    for (version, wall_ms) in enforced {
        times_ms.push(wall_ms.saturating_sub(accepted_ms[usize::try_from(version)?]));
    }
    times_ms.sort_unstable();
    Ok(times_ms)
}

fn print_times(daemons: usize, changes: u64, times_ms: &[u64]) -> anyhow::Result<()> {
    let percentile = |percent: usize| times_ms[(times_ms.len() - 1) * percent / 100];
    ensure!(
        !times_ms.is_empty(),
        "the event logs contain no enforced policy"
    );
    println!(
        "{daemons} daemons, {changes} changes, {} times",
        times_ms.len()
    );
    println!(
        "p50 {} ms, p99 {} ms, largest {} ms",
        percentile(50),
        percentile(99),
        percentile(100)
    );
    Ok(())
}
