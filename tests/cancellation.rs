//! When a caller disconnects, its calls are cancelled down the whole call chain.

use {
    banyantrestle::{
        context::ServiceName,
        daemon::{Daemon, DaemonOptions},
        policy::PolicyDocument,
    },
    standins::{
        client::{CallClient, CallPath, CallRouter, OutboundCall},
        deployment::{LOOPBACK, loopback_settings, write_initial_policy},
        platform::{PlatformMode, PlatformStandin},
        process::wait_until,
        target::{RunLedger, TargetSettings, TargetStandin},
    },
    std::{net::SocketAddr, time::Duration},
    tokio::{io::AsyncWriteExt, net::TcpStream},
};

const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Service time far longer than any timeout of these tests.
const HANG_DURATION: Duration = Duration::from_secs(3_600);

/// A policy under which no deadline passes during the test.
fn long_deadline_policy() -> PolicyDocument {
    let mut document = PolicyDocument::built_in();
    for class in &mut document.classes {
        class.deadline_ms = 600_000;
    }
    document
}

fn service_name(service: &str) -> ServiceName {
    ServiceName::new(service).expect("a valid name")
}

async fn start_daemon(platform: SocketAddr) -> Daemon {
    let settings = loopback_settings("akl-a", platform, &[]);
    let log = slog::Logger::root(slog::Discard, slog::o!());
    Daemon::start(settings, DaemonOptions::default(), log)
        .await
        .expect("a daemon")
}

async fn start_target(service: &str, daemon: &Daemon, service_time: Duration) -> TargetStandin {
    let mut settings = TargetSettings::new(&service_name(service));
    settings.mean_service_time = service_time;
    settings.call_timeout = HANG_DURATION;
    TargetStandin::start_with_daemon(settings, daemon.listen().local, RunLedger::default())
        .await
        .expect("a target")
}

#[tokio::test(flavor = "multi_thread")]
async fn disconnected_caller_cancels_every_call_of_the_chain() {
    let platform = PlatformStandin::start(LOOPBACK, PlatformMode::uncapped())
        .await
        .expect("a platform");
    write_initial_policy(platform.address(), &long_deadline_policy())
        .await
        .expect("a policy in the table");
    let catalogue_daemon = start_daemon(platform.address()).await;
    let workshop_daemon = start_daemon(platform.address()).await;
    let catalogue = start_target("catalogue", &catalogue_daemon, Duration::from_millis(1)).await;
    let workshop = start_target("workshop", &workshop_daemon, HANG_DURATION).await;
    for daemon in [&catalogue_daemon, &workshop_daemon] {
        daemon.ready().await;
    }
    let ingress = catalogue_daemon.listen().edge;
    let client = CallClient::new(CallRouter::daemons(vec![ingress]));
    let probe = OutboundCall::get(
        &service_name("catalogue"),
        CallPath::new("call"),
        "1.1",
        WAIT_TIMEOUT,
    );
    let is_found = wait_until(WAIT_TIMEOUT, || async {
        client.call(&probe).await.is_complete()
    });
    assert!(is_found.await, "{:?}", client.call(&probe).await);
    let path = CallPath::new("call").with_via(vec![service_name("workshop")]);
    let request =
        format!("GET /catalogue/{path} HTTP/1.1\r\nhost: x\r\nstandin-attempt: 2.1\r\n\r\n");
    // The nested call is refused until the daemon of `catalogue` has learned of the target of
    // `workshop`, so the call is sent again until it runs there.
    let is_reached = wait_until(WAIT_TIMEOUT, || async {
        let mut caller = TcpStream::connect(ingress).await.expect("a connection");
        caller.write_all(request.as_bytes()).await.expect("sent");
        let is_running = wait_until(Duration::from_millis(500), || async {
            workshop.in_flight() == 1
        });
        is_running.await
    });
    assert!(is_reached.await, "no call reached the target of workshop");
    let is_idle = wait_until(WAIT_TIMEOUT, || async {
        workshop.in_flight() == 0 && catalogue.in_flight() == 0
    });
    assert!(
        is_idle.await,
        "a target still runs a call whose caller has disconnected"
    );
}
