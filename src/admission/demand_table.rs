use {
    super::rank_table::RankTable,
    crate::{
        context::CallPriority,
        time::{TimePoint, decay_factor},
    },
    std::time::Duration,
};

/// Time constant of the exponential decay of recorded demand.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_millis(500);
/// Minimum service time that a call adds to the demand; also that of a class without samples.
const MIN_SERVICE_TIME: Duration = Duration::from_millis(1);
/// High bits of the request hash that select a bin.
const BIN_BITS: u32 = 5;
const BINS_PER_RANK: u32 = 1 << BIN_BITS;
/// Number of priorities in one bin.
const BIN_WIDTH: u32 = 1 << (CallPriority::HASH_BITS - BIN_BITS);
/// Bits of a priority that contain the hash of the request id.
const HASH_MASK: u32 = (1 << CallPriority::HASH_BITS) - 1;
/// Minimum share of the total demand that a bin is assumed to contain, since the daemons of callers
/// may refuse its calls before they arrive here.
const MIN_BIN_SHARE: f64 = 1.0 / 128.0;

/// Recent demand by priority, in seconds of service time at the target.
#[derive(Clone, Debug)]
pub(super) struct DemandTable {
    ranks: RankTable<RankDemand>,
    last_tick_at: TimePoint,
}

#[derive(Clone, Debug)]
struct RankDemand {
    /// Seconds of service time.
    bins: [f64; BINS_PER_RANK as usize],
}

impl Default for RankDemand {
    fn default() -> Self {
        Self {
            bins: [0.0; BINS_PER_RANK as usize],
        }
    }
}

/// Demand of a range of adjacent priorities.
#[derive(Clone, Copy, Debug)]
struct DemandBin {
    /// Lowest priority of the range.
    start: u32,
    seconds: f64,
}

impl DemandBin {
    fn end(&self) -> u32 {
        self.start + BIN_WIDTH
    }

    /// Demand at `threshold` and above, in seconds.
    fn seconds_at_or_above(&self, threshold: u32) -> f64 {
        let width = self.end().saturating_sub(threshold).min(BIN_WIDTH);
        self.seconds * f64::from(width) / f64::from(BIN_WIDTH)
    }

    /// Number of adjacent priorities whose demand adds up to `seconds`.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn width_for(&self, seconds: f64) -> u32 {
        let width =
            (f64::from(BIN_WIDTH) * seconds / self.seconds).clamp(0.0, f64::from(BIN_WIDTH));
        width as u32
    }
}

impl DemandTable {
    pub(super) fn new(now: TimePoint) -> Self {
        Self {
            ranks: RankTable::default(),
            last_tick_at: now,
        }
    }

    /// Adds a call whose class has the mean service time `service_time`.
    pub(super) fn record(&mut self, priority: CallPriority, service_time: Duration) {
        let index = bin_index(priority);
        let seconds = service_time.max(MIN_SERVICE_TIME).as_secs_f64();
        self.ranks.row_mut(priority.rank()).bins[index] += seconds;
    }

    pub(super) fn tick(&mut self, now: TimePoint) {
        let elapsed = now.since(self.last_tick_at).as_secs_f64();
        let decay = decay_factor(elapsed, DEMAND_TIME_CONSTANT);
        for demand in self.ranks.values_mut() {
            for bin in &mut demand.bins {
                *bin *= decay;
            }
        }
        self.last_tick_at = now;
    }

    /// Average concurrency that the demand at `threshold` and above requires.
    pub(super) fn required_concurrency(&self, threshold: CallPriority) -> f64 {
        let threshold = threshold.as_u32();
        let seconds: f64 = self
            .bins()
            .map(|bin| bin.seconds_at_or_above(threshold))
            .sum();
        seconds / DEMAND_TIME_CONSTANT.as_secs_f64()
    }

    /// Lowest threshold that sheds `share` of the demand admitted by `threshold`.
    pub(super) fn raised_threshold(&self, threshold: CallPriority, share: f64) -> CallPriority {
        let threshold = threshold.as_u32();
        let admitted: f64 = self
            .bins()
            .map(|bin| bin.seconds_at_or_above(threshold))
            .sum();
        let mut remaining = share * admitted;
        for bin in self.bins() {
            let seconds = bin.seconds_at_or_above(threshold);
            if seconds > 0.0 && seconds >= remaining {
                let start = bin.start.max(threshold);
                return CallPriority::from_u32(start + bin.width_for(remaining));
            }
            remaining -= seconds;
        }
        CallPriority::from_u32(threshold)
    }

    /// Highest threshold that admits `share` of the total demand in addition to what `threshold`
    /// admits.
    pub(super) fn lowered_threshold(&self, threshold: CallPriority, share: f64) -> CallPriority {
        let threshold = threshold.as_u32();
        let demand: f64 = self.bins().map(|bin| bin.seconds).sum();
        let mut remaining = share * demand;
        for mut bin in self.bins().rev() {
            bin.seconds = bin.seconds.max(MIN_BIN_SHARE * demand);
            let seconds = bin.seconds - bin.seconds_at_or_above(threshold);
            if seconds > remaining {
                let end = bin.end().min(threshold);
                let width = bin.width_for(remaining).max(1);
                return CallPriority::from_u32(end.saturating_sub(width).max(bin.start));
            }
            remaining -= seconds;
        }
        CallPriority::LOWEST
    }

    /// Bins in ascending order of priority.
    fn bins(&self) -> impl DoubleEndedIterator<Item = DemandBin> {
        self.ranks.iter().flat_map(|(rank, demand)| {
            let base = u32::from(rank) << CallPriority::HASH_BITS;
            let indices = 0..BINS_PER_RANK;
            indices.zip(demand.bins).map(move |(index, seconds)| {
                let start = base + index * BIN_WIDTH;
                DemandBin { start, seconds }
            })
        })
    }
}

fn bin_index(priority: CallPriority) -> usize {
    let hash = priority.as_u32() & HASH_MASK;
    (hash / BIN_WIDTH) as usize
}
