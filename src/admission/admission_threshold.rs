use {
    super::{AdmissionRequest, demand_table::DemandTable},
    crate::{context::CallPriority, time::TimePoint},
    std::time::Duration,
};

/// Time between two moves.
const ADJUSTMENT_INTERVAL: Duration = Duration::from_millis(50);
/// Share of the admitted work that a move sheds for a delay of twice the target.
const DELAY_GAIN: f64 = 0.01;
/// The same for a delay that has grown by the target since the move before.
const GROWTH_GAIN: f64 = 0.04;
const MAX_ADJUSTMENT: f64 = 0.1;
/// Work against the limit down to which a move sheds, so that the queue does not run dry.
const MIN_ADMITTED_LOAD: f64 = 1.1;
/// Work against the limit beyond which all is shed in one move.
const MAX_ADMITTED_LOAD: f64 = 1.3;
/// Share of all work that the first move after pressure admits again; it doubles with each move.
const INITIAL_RECOVERY_SHARE: f64 = 0.005;

/// Lowest priority that a guard admits.
///
/// It moves by the queue delay and its change, as the drop probability of PIE does (RFC 8033). Work
/// that is far beyond the limit is shed in one move. Once the delay stays under half the target the
/// threshold falls, each move twice as far as the one before.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionThreshold {
    lowest: CallPriority,
    last_adjusted: TimePoint,
    /// Delay at the move before.
    previous_delay: Duration,
    /// Greatest delay since then.
    peak_delay: Duration,
    recovery_share: f64,
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
            last_adjusted: now,
            previous_delay: Duration::ZERO,
            peak_delay: Duration::ZERO,
            recovery_share: INITIAL_RECOVERY_SHARE,
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

    pub(super) fn tick(&mut self, now: TimePoint, queue: QueueState, demand: &DemandTable) {
        self.peak_delay = self.peak_delay.max(queue.delay);
        if now.since(self.last_adjusted) < ADJUSTMENT_INTERVAL {
            return;
        }
        if self.peak_delay < queue.target / 2 {
            self.recover(demand);
        } else if now.since(self.last_adjusted) >= queue.target {
            self.adjustment(queue, demand);
        } else {
            return;
        }
        self.last_adjusted = now;
        self.previous_delay = queue.delay;
        self.peak_delay = Duration::ZERO;
    }

    fn recover(&mut self, demand: &DemandTable) {
        self.lowest = demand.lowered_threshold(self.lowest, self.recovery_share);
        self.recovery_share *= 2.0;
    }

    fn adjustment(&mut self, queue: QueueState, demand: &DemandTable) {
        self.recovery_share = INITIAL_RECOVERY_SHARE;
        let target = queue.target.as_secs_f64();
        let delay = queue.delay.as_secs_f64() / target;
        let growth = delay - self.previous_delay.as_secs_f64() / target;
        let adjustment = DELAY_GAIN * (delay - 1.0) + GROWTH_GAIN * growth;
        let adjustment = adjustment.clamp(-MAX_ADJUSTMENT, MAX_ADJUSTMENT);
        if adjustment < 0.0 {
            self.lowest = demand.lowered_threshold(self.lowest, -adjustment);
        } else if queue.is_standing {
            let concurrency = demand.required_concurrency(self.lowest);
            let limit = f64::from(queue.limit);
            let min_shed = excess_share(concurrency, limit * MAX_ADMITTED_LOAD);
            let max_shed = excess_share(concurrency, limit * MIN_ADMITTED_LOAD);
            self.lowest =
                demand.raised_threshold(self.lowest, adjustment.min(max_shed).max(min_shed));
        }
    }
}

/// Share of `work` that goes beyond `bound`.
fn excess_share(concurrency: f64, bound: f64) -> f64 {
    1.0 - bound / concurrency.max(bound)
}
