use {
    super::{
        active_calls::ActiveCalls,
        admin_service::serve_admin,
        announce_service::{publish_withdrawal, serve_local},
        daemon_options::DaemonOptions,
        daemon_phase::DaemonPhase,
        daemon_sockets::DaemonSockets,
        daemon_state::{DaemonState, DaemonTables},
        ingress_service::serve_ingress,
        local_target::{LocalTarget, TargetRegistration},
        mesh_service::serve_mesh_call,
        mesh_transport::MeshTransport,
        metrics_recorder::{process_recorder, set_load_gauges},
        target_probe::probe_target,
        watch_tasks::{
            follow_advertised_policy, follow_member_table, follow_members, follow_policy,
        },
    },
    crate::{
        admission::ThresholdCache,
        auth::SharedKey,
        claims::{ClaimIdentity, ClaimLimits, ClaimService},
        console::AdminToken,
        context::CallPriority,
        error::StepError,
        events::{EventKind, EventLog},
        membership::{MemberId, MembershipHandle, MembershipSettings},
        net::{ListenerLimits, ListenerShutdown, MeshPool, serve_http, serve_mesh},
        policy::{PolicyDependencies, PolicyService},
        retry::BudgetTable,
        routing::{RouterLocation, TargetTable},
        settings::{DaemonSettings, LimitSettings, ListenSettings},
        table::HttpTable,
        time::{ProcessClock, TimerService},
    },
    std::{
        collections::HashMap,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::{sync::watch, time::interval},
    tokio_util::{sync::CancellationToken, task::TaskTracker},
};

/// Interval at which metric samples are moved into the histogram buckets.
const METRICS_UPKEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between ticks of the admission guard.
const GUARD_TICK_INTERVAL: Duration = Duration::from_millis(10);
/// Interval at which the daemon checks whether the target has stopped announcing itself.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// A running daemon.
#[derive(Debug)]
pub struct Daemon {
    pub(super) state: Arc<DaemonState>,
    /// Shutdown of the ingress listener, which serves callers.
    pub(super) ingress_shutdown: ListenerShutdown,
    /// Shutdown of the listeners for the target, other daemons and operators.
    pub(super) internal_shutdown: ListenerShutdown,
    listen: ListenSettings,
}

impl Daemon {
    /// Binds the listeners and starts the tasks of the daemon.
    ///
    /// # Errors
    /// Fails if a listener cannot be bound.
    pub async fn start(
        settings: DaemonSettings,
        options: DaemonOptions,
        log: slog::Logger,
    ) -> Result<Self, StepError> {
        let clock = ProcessClock::start();
        let timers = TimerService::new(clock);
        let sockets = DaemonSockets::bind(&settings.listen).await?;
        let bound = sockets.addresses(settings.listen.gossip)?;
        let key = SharedKey::derive(&settings.shared_secret);
        let table = HttpTable::from_settings(&settings.platform);
        let membership = MembershipHandle::start(
            membership_settings(&settings, &bound, &key, clock),
            table.clone(),
            timers,
            clock,
            log.clone(),
        )?;
        let listen = ListenSettings {
            gossip: membership.address(),
            ..bound
        };
        let member = MemberId {
            address: listen.gossip,
            started_ms: clock.wall_ms(),
        };
        let events = EventLog::new(member, clock, settings.limits.events);
        let silence = Duration::from_millis(settings.limits.silence_ms);
        let mesh = Arc::new(MeshPool::new(silence.into()));
        let transport = MeshTransport::new(mesh.clone(), key.clone());
        let identity = ClaimIdentity {
            member,
            mesh: listen.mesh,
        };
        let claims = ClaimService::start(
            table.clone(),
            transport.clone(),
            identity,
            claim_limits(&settings.limits),
            clock,
            rand::make_rng(),
        );
        claims.start_sweep(table.clone(), &timers);
        let policies = PolicyService::start(PolicyDependencies {
            table,
            source: transport,
            events: events.clone(),
            logger: log.clone(),
            clock,
        });
        let location = RouterLocation {
            region: settings.region.as_str().into(),
            data_centre: settings.data_centre.as_str().into(),
        };
        let state = Arc::new(DaemonState {
            clock,
            options,
            log,
            key,
            member,
            target: TargetRegistration::new(clock, membership.clone()),
            membership,
            mesh_address: listen.mesh,
            mesh,
            events,
            recorder: process_recorder(),
            admin_token: AdminToken::new(&settings.admin_token),
            active_calls: ActiveCalls::default(),
            running_calls: TaskTracker::new(),
            stopped: CancellationToken::new(),
            phase: watch::Sender::new(DaemonPhase::Starting),
            policy: policies.current(),
            policies,
            claims,
            tables: DaemonTables {
                targets: Mutex::new(TargetTable::new(location)),
                budgets: Mutex::new(BudgetTable::new()),
                retry_buckets: Mutex::new(HashMap::new()),
                thresholds: Mutex::new(ThresholdCache::default()),
            },
            settings,
        });
        let daemon = Self {
            state,
            ingress_shutdown: ListenerShutdown::default(),
            internal_shutdown: ListenerShutdown::default(),
            listen,
        };
        daemon.spawn_tasks(timers);
        daemon.spawn_listeners(sockets);
        Ok(daemon)
    }

    /// Addresses that the daemon listens on.
    #[must_use]
    pub fn listen(&self) -> ListenSettings {
        self.listen
    }

    /// Receives the current phase and each change of it.
    #[must_use]
    pub fn phase(&self) -> watch::Receiver<DaemonPhase> {
        self.state.phase.subscribe()
    }

    /// Waits until the daemon has an active policy and accepts calls.
    pub async fn ready(&self) {
        let mut ready = self.state.policies.ready();
        // The wait cannot fail, since the sender is not dropped before the daemon.
        ready.wait_for(|is_ready| *is_ready).await.ok();
    }

    fn spawn_tasks(&self, timers: TimerService) {
        self.state.spawn(follow_members(self.state.clone()));
        self.state.spawn(follow_member_table(self.state.clone()));
        self.state.spawn(follow_policy(self.state.clone()));
        self.state
            .spawn(follow_advertised_policy(self.state.clone()));
        self.state.spawn(probe_target(self.state.clone()));
        self.state.spawn(withdraw_silent_target(self.state.clone()));
        let state = Arc::downgrade(&self.state);
        timers.run_periodically(METRICS_UPKEEP_INTERVAL, move |_| {
            let state = state.upgrade();
            let state = state.filter(|state| !state.stopped.is_cancelled());
            state.is_some_and(|state| {
                state.recorder.run_upkeep();
                true
            })
        });
        let state = Arc::downgrade(&self.state);
        let mut recorded = CallPriority::LOWEST;
        timers.run_periodically(GUARD_TICK_INTERVAL, move |now| {
            let Some(state) = state.upgrade() else {
                return false;
            };
            if state.stopped.is_cancelled() {
                return false;
            }
            if let Some(target) = state.target.get() {
                target.guard.tick(now);
                let load = target.guard.load();
                set_load_gauges(&load);
                recorded = record_threshold_change(&state, &target, load.threshold, recorded);
            }
            state.thresholds().tick(now);
            true
        });
    }

    fn spawn_listeners(&self, sockets: DaemonSockets) {
        let limits = listener_limits(&self.state.settings.limits);
        let shutdown = || self.internal_shutdown.clone();
        let state = self.state.clone();
        let ingress = move |request| serve_ingress(state.clone(), request);
        tokio::spawn(serve_http(
            sockets.ingress,
            limits,
            self.ingress_shutdown.clone(),
            ingress,
        ));
        let state = self.state.clone();
        let local = move |request| serve_local(state.clone(), request);
        tokio::spawn(serve_http(sockets.local, limits, shutdown(), local));
        let state = self.state.clone();
        let mesh = move |request| serve_mesh_call(state.clone(), request);
        tokio::spawn(serve_mesh(sockets.mesh, limits, shutdown(), mesh));
        let state = self.state.clone();
        let admin = move |request| serve_admin(state.clone(), request);
        tokio::spawn(serve_http(sockets.admin, limits, shutdown(), admin));
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.ingress_shutdown.close();
        self.internal_shutdown.close();
        self.state.stopped.cancel();
    }
}

/// Records a change of the threshold if its class changes, or if it begins or ceases to admit every
/// call. Returns the threshold that was recorded last.
fn record_threshold_change(
    state: &DaemonState,
    target: &LocalTarget,
    threshold: CallPriority,
    recorded: CallPriority,
) -> CallPriority {
    let admits_all = |threshold: CallPriority| threshold <= CallPriority::LOWEST_CALL;
    let still_admits_all = admits_all(threshold) && admits_all(recorded);
    let is_same_class =
        admits_all(threshold) == admits_all(recorded) && threshold.rank() == recorded.rank();
    if still_admits_all || is_same_class {
        return recorded;
    }
    state.events.record(EventKind::ThresholdChanged {
        service: target.announcement.service.clone(),
        threshold,
    });
    threshold
}

/// Withdraws the target once its announcements have stopped.
async fn withdraw_silent_target(state: Arc<DaemonState>) {
    let mut ticks = interval(EXPIRY_CHECK_INTERVAL);
    loop {
        ticks.tick().await;
        let now = state.clock.now();
        if let Some(target) = state.target.expire(now) {
            publish_withdrawal(&state, &target.announcement, "no announcement").await;
        }
    }
}

fn membership_settings(
    settings: &DaemonSettings,
    bound: &ListenSettings,
    key: &SharedKey,
    clock: ProcessClock,
) -> MembershipSettings {
    MembershipSettings {
        id: MemberId {
            address: settings.listen.gossip,
            started_ms: clock.wall_ms(),
        },
        region: settings.region.clone(),
        data_centre: settings.data_centre.clone(),
        mesh: bound.mesh,
        admin: bound.admin,
        gossip: settings.listen.gossip,
        peers: settings.peers.clone(),
        key: key.clone(),
    }
}

fn claim_limits(limits: &LimitSettings) -> ClaimLimits {
    ClaimLimits {
        row_response_bytes: limits.row_response_bytes,
        ..ClaimLimits::default()
    }
}

fn listener_limits(limits: &LimitSettings) -> ListenerLimits {
    ListenerLimits {
        header_bytes: limits.header_bytes,
        header_timeout: Duration::from_millis(limits.header_timeout_ms),
        connections: limits.connections,
        silence_timeout: Duration::from_millis(limits.silence_ms),
    }
}
