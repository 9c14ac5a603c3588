use {
    super::WAIT_TIMEOUT,
    banyantrestle::{
        context::{ClassName, ServiceName},
        policy::{ClassPolicy, OverloadPolicy, PolicyDocument, RetryPolicy, RoutePolicy},
    },
    standins::{
        client::{CallClient, CallPath, CallRouter, OutboundCall},
        deployment::{DaemonProcess, LOOPBACK, loopback_settings, write_initial_policy},
        platform::{PlatformMode, PlatformStandin},
        target::{RunLedger, TargetSettings, TargetStandin},
    },
    std::{net::SocketAddr, path::Path, time::Duration},
    tokio::time::{Instant, sleep},
};

/// Maximum number of retries per request in the policy of the tests.
pub const MAX_RETRIES: u32 = 3;
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// A deployment whose daemons run as processes.
pub struct ProcessFleet {
    pub platform: PlatformStandin,
    pub daemons: Vec<DaemonProcess>,
    pub targets: Vec<TargetStandin>,
    pub ledger: RunLedger,
}

impl ProcessFleet {
    /// Starts the platform without daemons and submits the policy of the tests.
    pub async fn new() -> Self {
        let fleet = Self::without_policy().await;
        let accepted = write_initial_policy(fleet.platform.address(), &test_policy()).await;
        accepted.expect("a successful table write");
        fleet
    }

    pub async fn without_policy() -> Self {
        let platform = PlatformStandin::start(LOOPBACK, PlatformMode::uncapped()).await;
        Self {
            platform: platform.expect("a free port"),
            daemons: Vec::new(),
            targets: Vec::new(),
            ledger: RunLedger::default(),
        }
    }

    /// Starts a daemon and a target for each service.
    pub async fn with_services(services: &[&str]) -> Self {
        let mut fleet = Self::new().await;
        for service in services {
            fleet.add_target(target_settings(service)).await;
        }
        fleet
    }

    /// Adds a daemon with a target beside it.
    pub async fn add_target(&mut self, settings: TargetSettings) -> usize {
        self.add_target_at(settings, self.platform.address()).await
    }

    /// Adds a daemon that uses the platform at `platform`, with a target beside it.
    pub async fn add_target_at(&mut self, settings: TargetSettings, platform: SocketAddr) -> usize {
        let index = self.add_daemon(platform);
        let local = self.daemons[index].listen.local;
        let target = TargetStandin::start_with_daemon(settings, local, self.ledger.clone()).await;
        self.targets.push(target.expect("a free port"));
        index
    }

    /// Adds a daemon without a target that uses the platform at `platform`.
    pub fn add_daemon(&mut self, platform: SocketAddr) -> usize {
        let peers: Vec<SocketAddr> = self
            .daemons
            .iter()
            .map(|daemon| daemon.listen.gossip)
            .collect();
        let settings = loopback_settings("dc-1", platform, &peers);
        let program = Path::new(env!("CARGO_BIN_EXE_banyantrestled"));
        let daemon = DaemonProcess::start(program, &settings).expect("a daemon that starts");
        self.daemons.push(daemon);
        self.daemons.len() - 1
    }

    /// Restarts a daemon that has exited on the same addresses.
    pub fn restart(&mut self, index: usize) {
        let stopped = &mut self.daemons[index];
        let status = stopped
            .process
            .wait_for_exit(WAIT_TIMEOUT)
            .expect("a child process");
        assert!(status.is_some(), "daemon {index} still runs");
        let program = Path::new(env!("CARGO_BIN_EXE_banyantrestled"));
        let settings = stopped.restart_settings();
        *stopped = DaemonProcess::start(program, &settings).expect("a daemon that starts");
    }

    /// Returns a client that calls one daemon.
    pub fn client(&self, daemon: usize) -> CallClient {
        CallClient::new(CallRouter::daemons(vec![self.daemons[daemon].listen.edge]))
    }

    /// Returns a client that calls all daemons in turn.
    pub fn client_of_all(&self) -> CallClient {
        let ingresses = self.daemons.iter().map(|daemon| daemon.listen.edge);
        CallClient::new(CallRouter::daemons(ingresses.collect()))
    }

    /// Waits until `count` consecutive calls of a service through a daemon get complete responses.
    pub async fn wait_until_served(&self, daemon: usize, service: &str, count: u32) {
        let client = self.client(daemon);
        let deadline = Instant::now() + WAIT_TIMEOUT;
        let mut consecutive = 0;
        let mut attempts = 0;
        while consecutive < count {
            let attempt = format!("ready-{daemon}-{service}-{attempts}");
            let result = client.call(&browse_call(service, &attempt)).await;
            attempts += 1;
            if result.is_complete() {
                consecutive += 1;
                continue;
            }
            consecutive = 0;
            let log = self.daemons[daemon].process.log();
            assert!(
                Instant::now() < deadline,
                "{service} through {daemon}: {result:?}\n{log}"
            );
            sleep(RETRY_INTERVAL).await;
        }
    }

    /// Waits until calls through a daemon reach a target.
    pub async fn wait_until_target_reached(&self, daemon: usize, target: usize) {
        let client = self.client(daemon);
        let target = &self.targets[target];
        let service = target.service_name().as_str();
        let deadline = Instant::now() + WAIT_TIMEOUT;
        let arrived_before = target.arrived();
        let mut attempts = 0;
        while target.arrived() == arrived_before {
            assert!(
                Instant::now() < deadline,
                "no call of {service} reaches the target"
            );
            let attempt = format!("reach-{daemon}-{service}-{attempts}");
            client.call(&browse_call(service, &attempt)).await;
            attempts += 1;
        }
    }
}

/// Settings of a target with a short service time, which keeps the tests short.
pub fn target_settings(service: &str) -> TargetSettings {
    let mut settings = TargetSettings::new(&service_name(service));
    settings.mean_service_time = Duration::from_millis(2);
    settings
}

pub fn service_name(text: &str) -> ServiceName {
    ServiceName::new(text).expect("a valid name")
}

/// An idempotent call.
pub fn browse_call(service: &str, attempt: &str) -> OutboundCall {
    OutboundCall::get(
        &service_name(service),
        CallPath::new("browse"),
        attempt,
        CALL_TIMEOUT,
    )
}

/// A call that must run at most once.
pub fn buy_call(service: &str, attempt: &str, key: &str) -> OutboundCall {
    OutboundCall::get(
        &service_name(service),
        CallPath::new("buy"),
        attempt,
        CALL_TIMEOUT,
    )
    .keyed(key)
}

/// A policy with three classes: `buy`, which is not idempotent, `browse`, and `stream` for long
/// responses of the service `a`. The deadline of `stream` is long enough for a slow test host.
pub fn test_policy() -> PolicyDocument {
    let class = |name: &str, weight, non_idempotent, deadline: Duration| ClassPolicy {
        name: ClassName::new(name).expect("a valid name"),
        weight,
        deadline_ms: u64::try_from(deadline.as_millis()).expect("a short time"),
        non_idempotent,
        key_window_s: 3_600,
    };
    let buy_class = class("buy", 100, true, CALL_TIMEOUT);
    let browse_class = class("browse", 1, false, CALL_TIMEOUT);
    let stream_class = class("stream", 1, false, WAIT_TIMEOUT);
    let route = RoutePolicy {
        service: service_name("a"),
        method: None,
        path: "/stream".into(),
        class: stream_class.name.clone(),
    };
    PolicyDocument {
        deployment: "test".into(),
        routes: vec![route],
        default_class: browse_class.name.clone(),
        default_unsafe_class: Some(buy_class.name.clone()),
        classes: vec![buy_class, browse_class, stream_class],
        retry: RetryPolicy {
            per_request: MAX_RETRIES,
            ratio_percent: 20,
        },
        overload: OverloadPolicy::default(),
    }
}
