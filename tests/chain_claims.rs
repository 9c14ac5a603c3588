//! Claims of idempotency keys at every hop of a non-idempotent request.

use {
    banyantrestle::{
        context::ServiceName,
        daemon::{Daemon, DaemonOptions},
        policy::PolicyDocument,
        table::{HttpTable, TableStore},
    },
    serde_json::json,
    standins::{
        client::{CallClient, CallPath, CallResult, CallRouter, OutboundCall},
        deployment::{LOOPBACK, loopback_settings, write_initial_policy},
        platform::{PlatformMode, PlatformStandin},
        process::wait_until,
        target::{RunLedger, TargetSettings, TargetStandin},
    },
    std::{net::SocketAddr, time::Duration},
};

const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

fn name(service: &str) -> ServiceName {
    ServiceName::new(service).expect("a valid name")
}

/// Policy with a route of the non-idempotent class for the first service of the chain only.
fn first_service_policy() -> PolicyDocument {
    let document = json!({
        "deployment": "test",
        "classes": [
            {"name": "purchase", "weight": 100, "deadline_ms": 20_000, "non_idempotent": true},
            {"name": "browse", "weight": 1, "deadline_ms": 20_000},
        ],
        "routes": [{"service": "billing", "path": "/buy", "class": "purchase"}],
        "default_class": "browse",
        "retry": {"per_request": 3, "ratio_percent": 10},
    });
    serde_json::from_value(document).expect("a policy")
}

async fn start_pair(service: &str, platform: SocketAddr) -> (Daemon, TargetStandin) {
    let settings = loopback_settings("akl-a", platform, &[]);
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let daemon = Daemon::start(settings, DaemonOptions::default(), log)
        .await
        .expect("a daemon");
    daemon.ready().await;
    let settings = TargetSettings::new(&name(service));
    let target =
        TargetStandin::start_with_daemon(settings, daemon.listen().local, RunLedger::default())
            .await
            .expect("a target");
    (daemon, target)
}

#[tokio::test(flavor = "multi_thread")]
async fn key_is_claimed_below_the_service_that_the_policy_names() {
    let platform = PlatformStandin::start(LOOPBACK, PlatformMode::uncapped())
        .await
        .expect("a platform");
    write_initial_policy(platform.address(), &first_service_policy())
        .await
        .expect("a policy in the table");
    let (billing_daemon, _billing) = start_pair("billing", platform.address()).await;
    let (_depot_daemon, _depot) = start_pair("depot", platform.address()).await;
    let client = CallClient::new(CallRouter::daemons(vec![billing_daemon.listen().edge]));
    let path = || CallPath::new("browse").with_via(vec![name("depot")]);
    let probe = OutboundCall::get(&name("billing"), path(), "1.1", WAIT_TIMEOUT);
    let is_found = wait_until(WAIT_TIMEOUT, || async {
        client.call(&probe).await.is_complete()
    });
    assert!(is_found.await, "{:?}", client.call(&probe).await);
    let path = CallPath::new("buy").with_via(vec![name("depot")]);
    let buy = OutboundCall::get(&name("billing"), path, "2.1", WAIT_TIMEOUT).keyed("order-1");
    assert_eq!(client.call(&buy).await, CallResult::Complete);
    let table = HttpTable::new(platform.address(), WAIT_TIMEOUT);
    let rows = table.scan("claims", "", 10).await.expect("rows");
    let services: Vec<&str> = rows
        .iter()
        .filter_map(|row| row.key.split('/').next())
        .collect();
    assert_eq!(services, ["billing", "depot"]);
}
