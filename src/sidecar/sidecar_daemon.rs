use {
    super::{
        ConfigSource, IngressAdmission, PeerTable, PlatformAdapter, SidecarSettings,
        TargetRetryBudget, TargetTracker,
        account_gate::{AccountState, keep_proof},
        admin_service::{confirm_overdue, expire_target, serve_admin, serve_readiness},
        config_watch::{watch_gossip, watch_store},
        crash_watch::CrashWatch,
        departure_log::DepartureLog,
        departure_store::keep_departures,
        inbound_service::serve_inbound,
        leaving_peers::LeavingPeers,
        outbound::serve_outbound,
        parent_recovery::ParentRecovery,
        peer_formats::PeerFormats,
        process_load::ProcessLoad,
        refusal_store::keep_refusals,
        request_log::RequestLog,
        request_tally::RequestTally,
        sidecar_state::{SidecarPhase, SidecarState, TargetStatus},
        suspect_exchange::{announce_suspects, compare_suspects},
        unread_fields::UnreadFields,
    },
    crate::{
        auth::SharedKey,
        daemon::process_recorder,
        error::StepError,
        membership::{MemberId, MembershipHandle, MembershipSettings},
        net::{
            BodyBudget, ListenerLimits, ListenerShutdown, MeshPool, SilenceLimits, bind,
            serve_callers, serve_http1, serve_mesh,
        },
        table::TableStore,
        time::{BootClock, ClockId, PauseDetector, ProcessClock, RemoteClocks, TimerService},
    },
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex, OnceLock},
        time::Duration,
    },
    tokio::{
        net::TcpListener,
        sync::watch,
        time::{interval, sleep},
    },
    tokio_util::task::TaskTracker,
};

/// Interval between updates of the admission rates.
const ADMISSION_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between load reports in the log and the metrics.
const LOAD_REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between checks for a lost target.
const TARGET_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time after the first configuration at which a sidecar without known peers starts to serve.
const MAX_WAIT_FOR_PEERS: Duration = Duration::from_secs(2);
/// Interval between checks whether the sidecar can serve.
const READY_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Silence of a peer sidecar after which calls that may be sent again do not wait for it.
const MESH_SILENCE_LIMIT: Duration = Duration::from_millis(1_200);
/// Silence after which a connection between sidecars is closed.
const CONNECTION_SILENCE_LIMIT: Duration = Duration::from_secs(20);
/// Maximum connections of callers and of the target.
const MAX_OUTBOUND_CONNECTIONS: usize = 2_500;
/// Limits of each listener for other sidecars, readiness checks, and target reports.
const MAX_INTERNAL_CONNECTIONS: usize = 1_000;
const MAX_INTERNAL_HEADER_BYTES: usize = 64 * 1024;
const INTERNAL_HEADER_TIMEOUT: Duration = Duration::from_secs(30);

/// Percentage of the memory limit that bodies may take together.
const BODY_MEMORY_PERCENT: usize = 60;

/// A running sidecar.
#[derive(Debug)]
pub struct SidecarDaemon<P> {
    pub(super) state: Arc<SidecarState<P>>,
    /// Connections of callers and of the target.
    pub(super) outbound_shutdown: ListenerShutdown,
    /// Connections of other sidecars.
    pub(super) mesh_shutdown: ListenerShutdown,
    /// Readiness checks and reports of the target.
    pub(super) internal_shutdown: ListenerShutdown,
}

struct SidecarSockets {
    outbound: TcpListener,
    mesh: TcpListener,
    readiness: TcpListener,
    admin: TcpListener,
}

impl<P: PlatformAdapter> SidecarDaemon<P> {
    /// Binds the listeners and starts all tasks.
    ///
    /// # Errors
    /// A listener can't be bound.
    pub async fn start<S: ConfigSource, T: TableStore>(
        settings: SidecarSettings,
        platform: P,
        source: S,
        table: T,
        logger: slog::Logger,
    ) -> Result<Self, StepError> {
        let clock = BootClock::start();
        let process_clock = ProcessClock::start();
        let timers = TimerService::new(process_clock);
        let sockets = SidecarSockets {
            outbound: bind(settings.listen.outbound).await?,
            mesh: bind(settings.listen.mesh).await?,
            readiness: bind(settings.listen.readiness).await?,
            admin: bind(settings.listen.admin).await?,
        };
        let refusal_store = table.clone();
        let departure_store = table.clone();
        let membership = MembershipHandle::start(
            membership_settings(&settings, process_clock),
            table,
            timers,
            process_clock,
            logger.clone(),
        )?;
        let now = clock.now();
        let tracker = TargetTracker::new(settings.service.clone(), settings.heartbeat_interval);
        let state = Arc::new(SidecarState {
            clock,
            clock_id: ClockId::random(),
            remote_clocks: RemoteClocks::default(),
            pauses: PauseDetector::new(now),
            platform,
            log: RequestLog::new(logger.clone(), clock),
            tally: RequestTally::default(),
            process_load: ProcessLoad::new(now),
            crash_watch: Arc::new(CrashWatch::new(
                &settings.deployment,
                settings.listen.mesh,
                clock,
                process_clock,
                logger,
            )),
            unread_fields: UnreadFields::default(),
            membership,
            mesh_pool: MeshPool::new(SilenceLimits {
                reuse: MESH_SILENCE_LIMIT,
                close: CONNECTION_SILENCE_LIMIT,
            }),
            body_budget: Arc::new(BodyBudget::new(body_bytes(&settings))),
            running: Arc::default(),
            sent: Arc::default(),
            parent_recovery: ParentRecovery::default(),
            taken: TaskTracker::new(),
            in_flight: TaskTracker::new(),
            recorder: process_recorder(),
            phase: watch::Sender::new(SidecarPhase::Starting),
            drain: OnceLock::new(),
            config: watch::Sender::new(None),
            accounts: AccountState::new(settings.proof_rule, now),
            departures: DepartureLog::default(),
            leaving_peers: LeavingPeers::default(),
            peer_formats: PeerFormats::default(),
            peers: Mutex::new(PeerTable::new(
                settings.listen.mesh,
                settings.data_centre.as_str().into(),
            )),
            admission: Mutex::new(IngressAdmission::new(settings.least_service)),
            target: Mutex::new(TargetStatus {
                tracker,
                live: None,
                silent: None,
            }),
            durations: Mutex::default(),
            retry_budget: Mutex::new(TargetRetryBudget::new(settings.retry_limits, now)),
            settings,
        });
        let daemon = Self {
            state,
            outbound_shutdown: ListenerShutdown::default(),
            mesh_shutdown: ListenerShutdown::default(),
            internal_shutdown: ListenerShutdown::default(),
        };
        daemon.spawn_tasks(source, timers);
        tokio::spawn(keep_departures(daemon.state.clone(), departure_store));
        tokio::spawn(keep_refusals(daemon.state.clone(), refusal_store));
        daemon.spawn_listeners(sockets);
        Ok(daemon)
    }

    /// Updates the gossip addresses of the peers from the settings.
    pub async fn set_peers(&self, peers: Vec<SocketAddr>) {
        self.state.membership.set_peers(peers).await;
    }

    fn spawn_tasks<S: ConfigSource>(&self, source: S, timers: TimerService) {
        tokio::spawn(keep_proof(self.state.clone(), source.clone()));
        tokio::spawn(watch_store(self.state.clone(), source));
        tokio::spawn(watch_gossip(self.state.clone()));
        tokio::spawn(watch_members(self.state.clone()));
        tokio::spawn(wait_until_ready(self.state.clone()));
        tokio::spawn(wait_until_members_known(self.state.clone()));
        tokio::spawn(watch_target(self.state.clone()));
        tokio::spawn(announce_suspects(self.state.clone()));
        tokio::spawn(compare_suspects(self.state.clone()));
        let state = Arc::downgrade(&self.state);
        timers.run_periodically(LOAD_REPORT_INTERVAL, move |_| {
            let Some(state) = state.upgrade() else {
                return false;
            };
            state.report_load();
            true
        });
        let state = Arc::downgrade(&self.state);
        timers.run_periodically(ADMISSION_INTERVAL, move |_| {
            let Some(state) = state.upgrade() else {
                return false;
            };
            state
                .process_load
                .tick(state.clock.now(), ADMISSION_INTERVAL);
            state.tick_admission();
            state.grant_rate_limited();
            true
        });
    }

    fn spawn_listeners(&self, sockets: SidecarSockets) {
        let state = self.state.clone();
        let limits = move || outbound_limits(&state);
        let state = self.state.clone();
        let outbound = move |request, arrival| serve_outbound(state.clone(), request, arrival);
        let shutdown = self.outbound_shutdown.clone();
        let clock = self.state.clock;
        tokio::spawn(serve_callers(
            sockets.outbound,
            limits,
            clock,
            shutdown,
            outbound,
        ));
        let state = self.state.clone();
        let mesh = move |request| serve_inbound(state.clone(), request);
        tokio::spawn(serve_mesh(
            sockets.mesh,
            internal_limits(),
            self.mesh_shutdown.clone(),
            mesh,
        ));
        let shutdown = || self.internal_shutdown.clone();
        let state = self.state.clone();
        let readiness = move |request| serve_readiness(state.clone(), request);
        tokio::spawn(serve_http1(
            sockets.readiness,
            internal_limits,
            shutdown(),
            readiness,
        ));
        let state = self.state.clone();
        let admin = move |request| serve_admin(state.clone(), request);
        tokio::spawn(serve_http1(
            sockets.admin,
            internal_limits,
            shutdown(),
            admin,
        ));
    }
}

/// Limits of the outbound listener. The header timeout is the idle timeout, because the server
/// treats the wait for the next header and the idle time as one.
fn outbound_limits<P: PlatformAdapter>(state: &SidecarState<P>) -> ListenerLimits {
    let limits = state
        .config()
        .map(|config| config.limits)
        .unwrap_or_default();
    ListenerLimits {
        header_bytes: limits.header_bytes,
        header_timeout: limits.idle_timeout,
        connections: MAX_OUTBOUND_CONNECTIONS,
        silence_timeout: CONNECTION_SILENCE_LIMIT,
    }
}

fn internal_limits() -> ListenerLimits {
    ListenerLimits {
        header_bytes: MAX_INTERNAL_HEADER_BYTES,
        header_timeout: INTERNAL_HEADER_TIMEOUT,
        connections: MAX_INTERNAL_CONNECTIONS,
        silence_timeout: CONNECTION_SILENCE_LIMIT,
    }
}

const fn body_bytes(settings: &SidecarSettings) -> usize {
    settings.memory_limit / 100 * BODY_MEMORY_PERCENT
}

fn membership_settings(settings: &SidecarSettings, clock: ProcessClock) -> MembershipSettings {
    MembershipSettings {
        id: MemberId {
            address: settings.listen.gossip,
            started_ms: clock.wall_ms(),
        },
        region: settings.region.clone(),
        data_centre: settings.data_centre.clone(),
        mesh: settings.listen.mesh,
        admin: settings.listen.admin,
        gossip: settings.listen.gossip,
        peers: settings.peers.clone(),
        key: SharedKey::derive(&settings.mesh_secret).with_older(&settings.deployment),
    }
}

/// Applies each membership change to the peer table.
async fn watch_members<P: PlatformAdapter>(state: Arc<SidecarState<P>>) {
    let mut views = state.membership.view();
    loop {
        let view = views.borrow_and_update().clone();
        state.update_peers(&view);
        if views.changed().await.is_err() {
            return;
        }
    }
}

/// Enters the serving phase once the configuration and another member are known, or the wait for
/// peers is over.
async fn wait_until_ready<P: PlatformAdapter>(state: Arc<SidecarState<P>>) {
    let mut config = state.config.subscribe();
    // This can't fail: the state holds the sender until the process ends.
    config.wait_for(Option::is_some).await.ok();
    let config_known_at = state.clock.now();
    let mut views = state.membership.view();
    loop {
        let has_no_peers = views.borrow_and_update().members.len() < 2;
        if !has_no_peers || state.clock.now().since(config_known_at) > MAX_WAIT_FOR_PEERS {
            break;
        }
        sleep(READY_CHECK_INTERVAL).await;
    }
    state.advance_to(SidecarPhase::Serving);
}

/// Lets the limits of accounts be divided once another member is known, or the member table has been
/// read and none of those that it lists has been found.
async fn wait_until_members_known<P: PlatformAdapter>(state: Arc<SidecarState<P>>) {
    let mut views = state.membership.view();
    let mut listed = state.membership.listed_members();
    let is_alone = async {
        // This can't fail before the membership stops.
        listed.wait_for(Option::is_some).await.ok();
        sleep(MAX_WAIT_FOR_PEERS).await;
    };
    tokio::select! {
        _ = views.wait_for(|view| view.members.len() > 1) => {}
        () = is_alone => {}
    }
    state.accounts.set_members_known();
}

async fn watch_target<P: PlatformAdapter>(state: Arc<SidecarState<P>>) {
    let mut ticks = interval(TARGET_CHECK_INTERVAL);
    loop {
        ticks.tick().await;
        confirm_overdue(&state).await;
        expire_target(&state);
    }
}
