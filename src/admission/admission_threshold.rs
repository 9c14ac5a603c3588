use {
    super::{AdmissionRequest, demand_table::DemandTable},
    crate::{context::CallPriority, time::TimePoint},
    std::time::Duration,
};

/// Minimum time between two adjustments.
const ADJUSTMENT_INTERVAL: Duration = Duration::from_millis(50);
/// Share of the admitted demand that an adjustment sheds for a delay of twice the target.
const DELAY_GAIN: f64 = 0.01;
/// Share of the admitted demand that an adjustment sheds for a delay that has grown by the target
/// since the previous adjustment.
const GROWTH_GAIN: f64 = 0.04;
/// Maximum share of the demand that an adjustment by delay and growth sheds or admits again.
const MAX_ADJUSTMENT: f64 = 0.1;
/// Ratio of admitted load to the limit below which an adjustment does not reduce the load, so that
/// the queue does not run empty.
const MIN_ADMITTED_LOAD: f64 = 1.1;
/// Ratio of admitted load to the limit above which the whole excess is shed in one adjustment.
const MAX_ADMITTED_LOAD: f64 = 1.3;
/// Share of the total demand that the first adjustment after an overload admits again; it doubles
/// with each further one.
const INITIAL_RECOVERY_SHARE: f64 = 0.005;

/// Lowest priority that a guard admits.
///
/// It follows the queue delay and its change, as the drop probability of PIE does (RFC 8033). Load
/// far above the limit is shed in one adjustment. While the delay stays below half the target, each
/// adjustment lowers the threshold and admits twice as much demand again as the previous one.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionThreshold {
    lowest: CallPriority,
    last_adjusted_at: TimePoint,
    /// Queue delay at the previous adjustment.
    previous_delay: Duration,
    /// Maximum queue delay since the previous adjustment.
    peak_delay: Duration,
    /// Share of the total demand that the next recovery step admits again.
    recovery_share: f64,
}

/// Input of an adjustment.
#[derive(Clone, Copy, Debug)]
pub(super) struct QueueState {
    /// Time in which the queued calls complete.
    pub(super) delay: Duration,
    /// Target delay of the queue.
    pub(super) target: Duration,
    /// Whether the delay has been above its target for an interval.
    pub(super) is_standing: bool,
    /// Calls that the target runs at the same time.
    pub(super) limit: u32,
}

impl AdmissionThreshold {
    #[must_use]
    pub fn new(now: TimePoint) -> Self {
        Self {
            lowest: CallPriority::LOWEST,
            last_adjusted_at: now,
            previous_delay: Duration::ZERO,
            peak_delay: Duration::ZERO,
            recovery_share: INITIAL_RECOVERY_SHARE,
        }
    }

    #[must_use]
    pub fn lowest(&self) -> CallPriority {
        self.lowest
    }

    /// Whether a call is at or above the threshold.
    ///
    /// Calls beyond the first hop are compared by class rank alone: the request was admitted at the
    /// first hop, and its work would be wasted if the threshold rose in the meantime.
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
        if now.since(self.last_adjusted_at) < ADJUSTMENT_INTERVAL {
            return;
        }
        if self.peak_delay < queue.target / 2 {
            self.recover(demand);
        } else if now.since(self.last_adjusted_at) >= queue.target {
            self.adjust(queue, demand);
        } else {
            return;
        }
        self.last_adjusted_at = now;
        self.previous_delay = queue.delay;
        self.peak_delay = Duration::ZERO;
    }

    fn recover(&mut self, demand: &DemandTable) {
        self.lowest = demand.lowered_threshold(self.lowest, self.recovery_share);
        self.recovery_share *= 2.0;
    }

    fn adjust(&mut self, queue: QueueState, demand: &DemandTable) {
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

/// Share of `concurrency` that exceeds `bound`.
fn excess_share(concurrency: f64, bound: f64) -> f64 {
    1.0 - bound / concurrency.max(bound)
}
