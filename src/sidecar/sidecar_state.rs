use {
    super::{
        IngressAdmission, PeerTable, PlatformAdapter, RouteConfig, RouteDurations, SidecarSettings,
        TargetRetryBudget, TargetTracker, account_gate::AccountState, crash_watch::CrashWatch,
        departure_log::DepartureLog, drain_window::DrainWindow, leaving_peers::LeavingPeers,
        live_target::LiveTarget, parent_recovery::ParentRecovery, peer_formats::PeerFormats,
        process_load::ProcessLoad, request_log::RequestLog, request_tally::RequestTally,
        running_calls::RunningCalls, sent_call::SentCalls, unread_fields::UnreadFields,
    },
    crate::{
        context::ServiceName,
        membership::{MemberView, MembershipHandle},
        net::{BodyBudget, MeshPool},
        time::{BootClock, ClockId, ClockReading, PauseDetector, RemoteClocks, TimePoint},
    },
    bytes::Bytes,
    metrics::gauge,
    metrics_exporter_prometheus::PrometheusHandle,
    std::{
        sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError},
        time::Duration,
    },
    strum::{Display, IntoStaticStr},
    tokio::sync::watch,
    tokio_util::task::TaskTracker,
};

/// Delay of a tick from which it is logged.
const REPORTED_TICK_DELAY: Duration = Duration::from_millis(20);

/// Phase of a sidecar between its start and its exit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum SidecarPhase {
    /// The configuration or the peers are not known yet.
    Starting,
    Serving,
    /// The readiness check fails, so that callers and peers use other sidecars.
    #[strum(serialize = "leaving")]
    Draining,
    /// No more calls are taken; those that have been taken are completed.
    Closing,
    /// The sidecar itself responds to calls that are still in flight.
    #[strum(serialize = "ending")]
    Stopping,
}

/// The configuration in force, with the document it was parsed from.
#[derive(Clone, Debug)]
pub(crate) struct ActiveConfig {
    pub(crate) config: Arc<RouteConfig>,
    pub(crate) document: Bytes,
}

/// State of the local target.
#[derive(Debug)]
pub(crate) struct TargetStatus {
    pub(crate) tracker: TargetTracker,
    /// The target process that accepts calls now.
    pub(crate) live: Option<Arc<LiveTarget>>,
    /// The process before it, if its heartbeats ceased; it may have crashed.
    pub(crate) silent: Option<Arc<LiveTarget>>,
}

/// State that all tasks of one sidecar share.
#[derive(Debug)]
pub(crate) struct SidecarState<P> {
    pub(crate) clock: BootClock,
    /// Identity of `clock` in messages to other sidecars.
    pub(crate) clock_id: ClockId,
    pub(crate) remote_clocks: RemoteClocks,
    pub(crate) pauses: PauseDetector,
    pub(crate) settings: SidecarSettings,
    pub(crate) platform: P,
    pub(crate) log: RequestLog,
    pub(crate) tally: RequestTally,
    pub(crate) process_load: ProcessLoad,
    pub(crate) unread_fields: UnreadFields,
    pub(crate) membership: MembershipHandle,
    pub(crate) mesh_pool: MeshPool,
    /// Memory for the bodies of requests and responses.
    pub(crate) body_budget: Arc<BodyBudget>,
    /// Calls that the local target may be running.
    pub(crate) running: Arc<RunningCalls>,
    /// Calls that the targets of other sidecars may be running for this one.
    pub(crate) sent: Arc<SentCalls>,
    pub(crate) parent_recovery: ParentRecovery,
    /// Calls of other sidecars, and attempts at the local target, that have no response yet.
    pub(crate) taken: TaskTracker,
    /// Requests on the outbound listener that have no response yet, and responses of the local
    /// target that are being relayed.
    pub(crate) in_flight: TaskTracker,
    pub(crate) recorder: PrometheusHandle,
    pub(crate) phase: watch::Sender<SidecarPhase>,
    /// Set when the shutdown begins.
    pub(super) drain: OnceLock<DrainWindow>,
    pub(crate) config: watch::Sender<Option<ActiveConfig>>,
    pub(crate) crash_watch: Arc<CrashWatch>,
    pub(crate) accounts: AccountState,
    /// Which departures of targets beside this sidecar the store holds.
    pub(crate) departures: DepartureLog,
    /// Targets of other sidecars that have said that they are leaving.
    pub(crate) leaving_peers: LeavingPeers,
    pub(crate) peer_formats: PeerFormats,
    pub(super) peers: Mutex<PeerTable>,
    pub(super) admission: Mutex<IngressAdmission>,
    pub(super) target: Mutex<TargetStatus>,
    pub(super) retry_budget: Mutex<TargetRetryBudget>,
    pub(super) durations: Mutex<RouteDurations>,
}

impl<P: PlatformAdapter> SidecarState<P> {
    pub(crate) fn clock_reading(&self) -> ClockReading {
        ClockReading {
            clock: self.clock_id,
            time: self.clock.now(),
        }
    }

    pub(crate) fn config(&self) -> Option<Arc<RouteConfig>> {
        let config = self.config.borrow();
        config.as_ref().map(|active| active.config.clone())
    }

    pub(crate) fn phase(&self) -> SidecarPhase {
        *self.phase.borrow()
    }

    pub(crate) fn start_drain(&self, drain: DrainWindow) {
        self.drain.get_or_init(|| drain);
        self.advance_to(SidecarPhase::Draining);
    }

    /// Whether calls of other sidecars are taken; those that know of the shutdown send none.
    pub(crate) fn takes_calls(&self) -> bool {
        let drain = self.drain.get();
        drain.is_none_or(|drain| self.clock.now() < drain.callers_end)
    }

    /// Whether a call that may last until `deadline` ends before the shutdown does, if there is one.
    pub(crate) fn ends_before_shutdown(&self, deadline: TimePoint) -> bool {
        self.drain
            .get()
            .is_none_or(|drain| deadline <= drain.last_deadline)
    }

    /// Whether a request of the route that begins now can be expected to end before the shutdown
    /// does, if there is one. Callers that should know of the shutdown are promised an end by their
    /// deadline.
    pub(crate) fn has_time_for(&self, route: &str, deadline: TimePoint) -> bool {
        let Some(drain) = self.drain.get() else {
            return true;
        };
        let now = self.clock.now();
        let expected = if now < drain.callers_end {
            self.durations().expected(now, route)
        } else {
            None
        };
        let end = expected.map_or(deadline, |duration| deadline.min(now + duration));
        end <= drain.last_deadline
    }

    pub(crate) fn durations(&self) -> MutexGuard<'_, RouteDurations> {
        let durations = self.durations.lock();
        durations.unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn peers(&self) -> MutexGuard<'_, PeerTable> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn admission(&self) -> MutexGuard<'_, IngressAdmission> {
        let admission = self.admission.lock();
        admission.unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn target(&self) -> MutexGuard<'_, TargetStatus> {
        self.target.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn retry_budget(&self) -> MutexGuard<'_, TargetRetryBudget> {
        self.retry_budget
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies a membership view to the peer table and drops connections to peers that are no
    /// longer called.
    pub(crate) fn update_peers(&self, view: &MemberView) {
        let now = self.clock.now();
        self.accounts.update_members(now, view);
        let mut peers = self.peers();
        peers.update(now, view);
        self.mesh_pool.retain(|peer| peers.contains(*peer));
    }

    /// Encoded report of the proof of the configuration, for other sidecars; `None` if there is none.
    pub(crate) fn proof_report(&self) -> Option<String> {
        let config = self.config()?;
        config.accounts.as_ref()?;
        let report = self
            .accounts
            .proof_report(config.version, self.clock.now())?;
        Some(report.encode())
    }

    /// Updates the admission rates; each member gets an equal share of the concurrency limit of a
    /// service.
    pub(crate) fn tick_admission(&self) {
        let now = self.clock.now();
        self.pauses.tick(now);
        self.running.remove_ended(now);
        self.sent.remove_ended(now);
        let members = self.membership.view().borrow().members.len().max(1);
        let ingress_count = f64::from(u32::try_from(members).unwrap_or(u32::MAX));
        let peers = self.peers();
        let fair_share =
            |service: &ServiceName| peers.total_concurrency_limit(service) / ingress_count;
        self.admission().tick(now, fair_share);
    }

    /// Lets calls start that have waited for the rate limit of the local target.
    pub(crate) fn grant_rate_limited(&self) {
        let live = self.target().live.clone();
        if let Some(target) = live
            && target.semaphore.rate_limit().is_some()
        {
            target.semaphore.grant_ready();
        }
    }

    /// Reports the load to the log and the metrics, and drains the backlog of the metrics recorder.
    pub(crate) fn report_load(&self) {
        self.recorder.run_upkeep();
        self.tally.report(&self.log.logger);
        let sample = self.process_load.sample(self.clock.now());
        gauge!("banyantrestle_tick_delay_seconds").set(sample.max_delay.as_secs_f64());
        if let Some(share) = sample.processor_share {
            gauge!("banyantrestle_processor_share").set(share);
        }
        if sample.max_delay >= REPORTED_TICK_DELAY {
            slog::info!(self.log.logger, "process behind its timers";
                "delay_ms" => sample.max_delay.as_millis(),
                "processor_share" => sample.processor_share);
        }
        let held = u32::try_from(self.body_budget.held()).unwrap_or(u32::MAX);
        gauge!("banyantrestle_body_bytes").set(held);
        let admission = self.admission();
        for (service, limiter) in admission.limiters() {
            let label = service.to_string();
            gauge!("banyantrestle_pressure", "service" => label.clone())
                .set(limiter.pressure().total);
            if let Some(rate) = limiter.rate_limit() {
                gauge!("banyantrestle_admitted_rate", "service" => label).set(rate);
                slog::info!(self.log.logger, "service held back"; "service" => %service,
                    "pressure" => limiter.pressure().total, "urgent" => limiter.pressure().urgent,
                    "rate" => rate,
                    "admitted" => limiter.admitted_load(),
                    "age_ms" => limiter.pressure_age(self.clock.now()).as_millis());
            }
        }
        drop(admission);
        let live = self.target().live.clone();
        if let Some(target) = live {
            let load = target.semaphore.load();
            gauge!("banyantrestle_target_running").set(load.running);
            gauge!("banyantrestle_target_waiting").set(load.waiting);
            gauge!("banyantrestle_target_limit").set(load.limit);
            if load.waiting > 0 {
                slog::info!(self.log.logger, "target loaded"; "running" => load.running,
                    "waiting" => load.waiting, "limit" => load.limit,
                    "service_ms" => load.service_time.as_secs_f64() * 1_000.0,
                    "failures" => load.failure_rate, "stalled" => load.is_stalled);
            }
        }
    }

    /// Advances to `phase`, unless that phase or a later one has been reached.
    pub(crate) fn advance_to(&self, phase: SidecarPhase) {
        let has_advanced = self.phase.send_if_modified(|current| {
            let is_later = *current < phase;
            if is_later {
                *current = phase;
            }
            is_later
        });
        if has_advanced {
            slog::info!(self.log.logger, "phase"; "phase" => %phase);
        }
    }
}
