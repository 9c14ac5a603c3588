use {
    super::{AdmissionRequest, demand_table::DemandTable},
    crate::{context::CallPriority, time::TimePoint},
    std::time::Duration,
};

/// Time between two moves.
const MOVE_PERIOD: Duration = Duration::from_millis(50);
/// Share of the admitted work that a move sheds for a delay of twice the target.
const DELAY_GAIN: f64 = 0.01;
/// The same for a delay that has grown by the target since the move before.
const GROWTH_GAIN: f64 = 0.04;
const MAX_TRIM: f64 = 0.1;
/// Work against the limit down to which a move sheds, so that the queue does not run dry.
const LEAST_ADMITTED: f64 = 1.1;
/// Work against the limit beyond which all is shed in one move.
const MOST_ADMITTED: f64 = 1.3;
/// Share of all work that the first move after pressure admits again; it doubles with each move.
const FIRST_ADMIT_SHARE: f64 = 0.005;

/// Lowest priority that a guard admits.
///
/// It moves by the queue delay and its change, as the drop probability of PIE does (RFC 8033). Work
/// that is far beyond the limit is shed in one move. Once the delay stays under half the target the
/// threshold falls, each move twice as far as the one before.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionThreshold {
    lowest: CallPriority,
    moved: TimePoint,
    /// Delay at the move before.
    last_delay: Duration,
    /// Greatest delay since then.
    peak_delay: Duration,
    admit_share: f64,
}

/// What a move goes by.
#[derive(Clone, Copy, Debug)]
pub(super) struct QueueState {
    /// Time to work off the queue.
    pub(super) delay: Duration,
    /// Delay above which the queue counts as standing.
    pub(super) target: Duration,
    /// The delay has been above its target for an interval.
    pub(super) is_standing: bool,
    /// Calls that the target runs at once.
    pub(super) limit: u32,
}

impl AdmissionThreshold {
    #[must_use]
    pub fn new(now: TimePoint) -> Self {
        Self {
            lowest: CallPriority::LOWEST,
            moved: now,
            last_delay: Duration::ZERO,
            peak_delay: Duration::ZERO,
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

    pub(super) fn tick(&mut self, now: TimePoint, pressure: QueueState, demand: &DemandTable) {
        self.peak_delay = self.peak_delay.max(pressure.delay);
        if now.since(self.moved) < MOVE_PERIOD {
            return;
        }
        if self.peak_delay < pressure.target / 2 {
            self.admit_more(demand);
        } else if now.since(self.moved) >= pressure.target {
            self.trim(pressure, demand);
        } else {
            return;
        }
        self.moved = now;
        self.last_delay = pressure.delay;
        self.peak_delay = Duration::ZERO;
    }

    fn admit_more(&mut self, demand: &DemandTable) {
        self.lowest = demand.lowered(self.lowest, self.admit_share);
        self.admit_share *= 2.0;
    }

    fn trim(&mut self, pressure: QueueState, demand: &DemandTable) {
        self.admit_share = FIRST_ADMIT_SHARE;
        let target = pressure.target.as_secs_f64();
        let delay = pressure.delay.as_secs_f64() / target;
        let growth = delay - self.last_delay.as_secs_f64() / target;
        let trim = DELAY_GAIN * (delay - 1.0) + GROWTH_GAIN * growth;
        let trim = trim.clamp(-MAX_TRIM, MAX_TRIM);
        if trim < 0.0 {
            self.lowest = demand.lowered(self.lowest, -trim);
        } else if pressure.is_standing {
            let work = demand.work_from(self.lowest);
            let limit = f64::from(pressure.limit);
            let least = excess(work, limit * MOST_ADMITTED);
            let most = excess(work, limit * LEAST_ADMITTED);
            self.lowest = demand.raised(self.lowest, trim.min(most).max(least));
        }
    }
}

/// Share of `work` that goes beyond `bound`.
fn excess(work: f64, bound: f64) -> f64 {
    1.0 - bound / work.max(bound)
}
