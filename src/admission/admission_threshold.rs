use {
    super::{AdmissionRequest, demand_table::DemandTable},
    crate::{context::CallPriority, time::TimePoint},
    std::time::Duration,
};

/// Time between two moves.
const MOVE_PERIOD: Duration = Duration::from_millis(50);
/// Share of the admitted demand that one move sheds.
const MIN_SHED_SHARE: f64 = 0.02;
const MAX_SHED_SHARE: f64 = 0.5;
/// Share of all demand that the first move after pressure admits again; it doubles with each move.
const FIRST_ADMIT_SHARE: f64 = 0.02;

/// Lowest priority that a guard admits.
///
/// It rises while the queue stands above its target delay, by as much as demand exceeds what the
/// target works off. Hysteresis: it falls only once the delay stays under half the target.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionThreshold {
    lowest: CallPriority,
    moved: TimePoint,
    least_delay: Duration,
    greatest_delay: Duration,
    admit_share: f64,
}

/// What a move goes by.
#[derive(Clone, Copy, Debug)]
pub(super) struct QueuePressure {
    /// Age of the oldest queued call.
    pub(super) delay: Duration,
    /// Delay above which the queue counts as standing.
    pub(super) target: Duration,
    /// Calls a second that the target works off, if known.
    pub(super) drain_rate: Option<f64>,
}

impl AdmissionThreshold {
    #[must_use]
    pub fn new(now: TimePoint) -> Self {
        Self {
            lowest: CallPriority::LOWEST,
            moved: now,
            least_delay: Duration::MAX,
            greatest_delay: Duration::ZERO,
            admit_share: FIRST_ADMIT_SHARE,
        }
    }

    #[must_use]
    pub fn lowest(&self) -> CallPriority {
        self.lowest
    }

    /// A call deep in its chain is measured by its class alone: the front of the chain has admitted
    /// the request, and its work would be lost for a threshold that moved on the way.
    #[must_use]
    pub fn is_admitted(&self, request: &AdmissionRequest) -> bool {
        if request.depth > 0 {
            request.priority.rank() >= self.lowest.rank()
        } else {
            request.priority >= self.lowest
        }
    }

    pub(super) fn tick(&mut self, now: TimePoint, pressure: QueuePressure, demand: &DemandTable) {
        self.least_delay = self.least_delay.min(pressure.delay);
        self.greatest_delay = self.greatest_delay.max(pressure.delay);
        if now.since(self.moved) < MOVE_PERIOD {
            return;
        }
        if self.least_delay > pressure.target {
            self.raise(pressure.drain_rate, demand);
        } else if self.greatest_delay < pressure.target / 2 {
            self.lower(demand);
        } else {
            self.admit_share = FIRST_ADMIT_SHARE;
        }
        self.moved = now;
        self.least_delay = Duration::MAX;
        self.greatest_delay = Duration::ZERO;
    }

    fn raise(&mut self, drain_rate: Option<f64>, demand: &DemandTable) {
        let admitted = demand.rate_from(self.lowest);
        let excess = drain_rate.map_or(0.0, |rate| 1.0 - rate / admitted);
        let share = excess.clamp(MIN_SHED_SHARE, MAX_SHED_SHARE);
        self.lowest = demand.raised(self.lowest, share);
        self.admit_share = FIRST_ADMIT_SHARE;
    }

    fn lower(&mut self, demand: &DemandTable) {
        self.lowest = demand.lowered(self.lowest, self.admit_share);
        self.admit_share *= 2.0;
    }
}
