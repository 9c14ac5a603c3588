use {
    super::{
        DaemonFeature, DaemonOptions, active_calls::ActiveCalls, daemon_phase::DaemonPhase,
        local_target::TargetRegistration, mesh_transport::MeshTransport,
    },
    crate::{
        admission::{GuardSettings, SojournMode, ThresholdCache, ThresholdMode},
        auth::SharedKey,
        claims::{BatcherMember, ClaimService},
        console::AdminToken,
        context::{CallId, CallPriority, ClassName, RequestId, ServiceName},
        events::{EventLog, HybridStamp, STAMP_HEADER},
        membership::{MemberId, MembershipHandle},
        net::{MeshPool, set_header},
        policy::{ActivePolicy, PolicyService},
        retry::{BudgetTable, PermitDecision, RetryBucket},
        routing::TargetTable,
        settings::DaemonSettings,
        table::HttpTable,
        time::ProcessClock,
    },
    http::HeaderMap,
    metrics_exporter_prometheus::PrometheusHandle,
    rand::RngExt,
    std::{
        collections::HashMap,
        fmt,
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
    },
    tokio::sync::watch,
    tokio_util::{sync::CancellationToken, task::TaskTracker},
};

/// State that all listeners and tasks of a daemon share.
pub(crate) struct DaemonState {
    pub(crate) clock: ProcessClock,
    pub(crate) settings: DaemonSettings,
    pub(crate) options: DaemonOptions,
    pub(crate) log: slog::Logger,
    pub(crate) key: SharedKey,
    pub(crate) member: MemberId,
    pub(crate) membership: MembershipHandle,
    pub(crate) mesh_address: SocketAddr,
    pub(crate) mesh: Arc<MeshPool>,
    pub(crate) events: EventLog,
    pub(crate) recorder: PrometheusHandle,
    pub(crate) admin_token: AdminToken,
    pub(crate) active_calls: ActiveCalls,
    pub(crate) target: TargetRegistration,
    /// Tracks calls that the target runs or may still run.
    pub(crate) running_calls: TaskTracker,
    /// Cancelled once the daemon has stopped. Ends its tasks.
    pub(crate) stopped: CancellationToken,
    pub(crate) phase: watch::Sender<DaemonPhase>,
    pub(crate) claims: ClaimService<HttpTable, MeshTransport>,
    pub(crate) policies: PolicyService<HttpTable, MeshTransport>,
    pub(crate) policy: watch::Receiver<Arc<ActivePolicy>>,
    pub(crate) tables: DaemonTables,
}

/// Tables for routing, retries, and the thresholds that responses report.
#[derive(Debug)]
pub(crate) struct DaemonTables {
    pub(crate) targets: Mutex<TargetTable>,
    pub(crate) budgets: Mutex<BudgetTable>,
    pub(crate) retry_buckets: Mutex<HashMap<ServiceName, RetryBucket>>,
    pub(crate) thresholds: Mutex<ThresholdCache>,
}

impl fmt::Debug for DaemonState {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "DaemonState({})", self.member)
    }
}

impl DaemonState {
    /// Runs a task until the daemon stops.
    pub(crate) fn spawn<F>(&self, task: F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let stopped = self.stopped.clone();
        tokio::spawn(async move { stopped.run_until_cancelled_owned(task).await });
    }

    pub(crate) fn target_table(&self) -> MutexGuard<'_, TargetTable> {
        lock(&self.tables.targets)
    }

    pub(crate) fn budgets(&self) -> MutexGuard<'_, BudgetTable> {
        lock(&self.tables.budgets)
    }

    pub(crate) fn thresholds(&self) -> MutexGuard<'_, ThresholdCache> {
        lock(&self.tables.thresholds)
    }

    /// The active policy.
    pub(crate) fn policy(&self) -> Arc<ActivePolicy> {
        self.policy.borrow().clone()
    }

    pub(crate) fn phase(&self) -> DaemonPhase {
        *self.phase.borrow()
    }

    /// Acquires one retry from the budget of a request that entered at this daemon.
    pub(crate) fn acquire_permit(&self, request: RequestId) -> PermitDecision {
        self.budgets().try_acquire(self.clock.now(), request)
    }

    /// Records the first attempt of a call to a service.
    pub(crate) fn record_attempt(&self, service: &ServiceName) {
        let percent = self.policy().document.retry.ratio_percent;
        let mut retry_buckets = lock(&self.tables.retry_buckets);
        if let Some(bucket) = retry_buckets.get_mut(service) {
            bucket.record_attempt(percent);
        } else {
            retry_buckets.insert(service.clone(), RetryBucket::new());
        }
    }

    /// Acquires one retry from the bucket of a service. Returns false if less than one is left.
    pub(crate) fn acquire_retry(&self, service: &ServiceName) -> bool {
        lock(&self.tables.retry_buckets)
            .get_mut(service)
            .is_some_and(RetryBucket::try_acquire)
    }

    /// Settings for the guard of a target with `slots` slots.
    pub(crate) fn guard_settings(&self, slots: u32) -> GuardSettings {
        let mut settings = GuardSettings::new(slots, &self.policy().document.overload);
        if !self.options.is_enabled(DaemonFeature::Threshold) {
            settings.threshold = ThresholdMode::AdmitAll;
        }
        if !self.options.is_enabled(DaemonFeature::Sojourn) {
            settings.sojourn = SojournMode::Unbounded;
        }
        settings
    }

    /// Updates the daemons that may commit the claims of the local target's service.
    pub(crate) fn refresh_batchers(&self) {
        let Some(target) = self.target.get() else {
            return;
        };
        let service = target.announcement.service.clone();
        let view = self.membership.view().borrow().clone();
        let members = view.serving(&service).map(|record| BatcherMember {
            id: record.id,
            mesh: record.mesh,
        });
        let members = members.collect();
        self.claims.set_members(service, members);
    }

    /// The priority that routing compares with the thresholds of targets.
    pub(crate) fn routing_priority(&self, priority: CallPriority) -> CallPriority {
        if self.options.is_enabled(DaemonFeature::Threshold) {
            priority
        } else {
            CallPriority::HIGHEST
        }
    }

    /// Records a threshold that a response reported from further down the call chain.
    pub(crate) fn record_threshold(
        &self,
        service: &ServiceName,
        class: &ClassName,
        threshold: CallPriority,
    ) {
        let now = self.clock.now();
        self.thresholds().record(now, service, class, threshold);
    }

    /// Sets the header with the hybrid clock of this process.
    pub(crate) fn set_stamp_header(&self, headers: &mut HeaderMap) {
        set_header(headers, STAMP_HEADER, &self.events.stamp().encode());
    }

    /// Advances the hybrid clock to the stamp in the headers, if they have one.
    pub(crate) fn observe_stamp_header(&self, headers: &HeaderMap) {
        let stamp = headers
            .get(STAMP_HEADER)
            .and_then(|value| HybridStamp::decode(value.to_str().ok()?));
        if let Some(stamp) = stamp {
            self.events.observe(stamp);
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Generates a random request id.
pub(crate) fn new_request_id() -> RequestId {
    RequestId::from_u128(rand::rng().random())
}

/// Generates a random call id.
pub(crate) fn new_call_id() -> CallId {
    CallId::from_u64(rand::rng().random())
}
