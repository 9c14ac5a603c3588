use {
    super::{
        FrontAdmission, PeerTable, PlatformDialect, RepeatBudget, RoutePlan, SidecarSettings,
        TargetRegister, decision_log::DecisionLog, live_target::LiveTarget,
        running_calls::RunningCalls,
    },
    crate::{membership::MembershipHandle, net::MeshPool, time::BootClock},
    bytes::Bytes,
    metrics_exporter_prometheus::PrometheusHandle,
    std::sync::{Arc, Mutex, MutexGuard, PoisonError},
    strum::{Display, IntoStaticStr},
    tokio::sync::watch,
    tokio_util::task::TaskTracker,
};

/// Where a sidecar stands between start and exit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum SidecarPhase {
    /// No configuration is known, or no target yet.
    Starting,
    Serving,
    /// Callers and other sidecars are to go elsewhere.
    Leaving,
    /// What is still in flight gets a final answer now.
    Ending,
}

/// The configuration in force, and the document it was read from.
#[derive(Clone, Debug)]
pub(crate) struct PlanInForce {
    pub(crate) plan: Arc<RoutePlan>,
    pub(crate) document: Bytes,
}

/// The target beside the sidecar.
#[derive(Debug)]
pub(crate) struct TargetSlot {
    pub(crate) register: TargetRegister,
    /// The start that takes calls now.
    pub(crate) live: Option<Arc<LiveTarget>>,
}

/// What all parts of one sidecar share.
#[derive(Debug)]
pub(crate) struct SidecarState<D> {
    pub(crate) clock: BootClock,
    pub(crate) settings: SidecarSettings,
    pub(crate) dialect: D,
    pub(crate) log: DecisionLog,
    pub(crate) membership: MembershipHandle,
    pub(crate) mesh: MeshPool,
    pub(crate) running: Arc<RunningCalls>,
    pub(crate) work: TaskTracker,
    pub(crate) recorder: PrometheusHandle,
    pub(crate) phase: watch::Sender<SidecarPhase>,
    pub(crate) plan: watch::Sender<Option<PlanInForce>>,
    pub(super) peers: Mutex<PeerTable>,
    pub(super) admission: Mutex<FrontAdmission>,
    pub(super) target: Mutex<TargetSlot>,
    pub(super) repeats: Mutex<RepeatBudget>,
}

impl<D: PlatformDialect> SidecarState<D> {
    pub(crate) fn plan(&self) -> Option<Arc<RoutePlan>> {
        let plan = self.plan.borrow();
        plan.as_ref().map(|in_force| in_force.plan.clone())
    }

    pub(crate) fn phase(&self) -> SidecarPhase {
        *self.phase.borrow()
    }

    pub(crate) fn peers(&self) -> MutexGuard<'_, PeerTable> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn admission(&self) -> MutexGuard<'_, FrontAdmission> {
        let admission = self.admission.lock();
        admission.unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn target(&self) -> MutexGuard<'_, TargetSlot> {
        self.target.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn repeats(&self) -> MutexGuard<'_, RepeatBudget> {
        self.repeats.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Moves on to `phase`; phases never go back.
    pub(crate) fn enter(&self, phase: SidecarPhase) {
        let is_moved = self.phase.send_if_modified(|current| {
            let is_later = *current < phase;
            if is_later {
                *current = phase;
            }
            is_later
        });
        if is_moved {
            slog::info!(self.log.logger, "phase"; "phase" => %phase);
        }
    }
}
