use {
    super::rank_table::RankTable,
    crate::{context::CallPriority, time::TimePoint},
    std::time::Duration,
};

/// Time over which demand is remembered.
const DEMAND_MEMORY: Duration = Duration::from_millis(500);
const BIN_BITS: u32 = 5;
const BINS_PER_RANK: u32 = 1 << BIN_BITS;
/// Priorities in one bin.
const BIN_WIDTH: u32 = 1 << (16 - BIN_BITS);
/// Share of the whole demand that a bin holds at least, since callers may hold its calls back.
const MIN_BIN_SHARE: f64 = 1.0 / 128.0;

/// Recent demand by priority.
#[derive(Clone, Debug)]
pub(super) struct DemandTable {
    ranks: RankTable<RankDemand>,
    ticked: TimePoint,
}

#[derive(Clone, Debug)]
struct RankDemand {
    bins: [f64; BINS_PER_RANK as usize],
}

impl Default for RankDemand {
    fn default() -> Self {
        Self {
            bins: [0.0; BINS_PER_RANK as usize],
        }
    }
}

/// Demand of neighbouring priorities.
#[derive(Clone, Copy, Debug)]
struct DemandBin {
    start: u32,
    calls: f64,
}

impl DemandBin {
    fn end(&self) -> u32 {
        self.start + BIN_WIDTH
    }

    /// Calls at `threshold` and above it.
    fn calls_from(&self, threshold: u32) -> f64 {
        let width = self.end().saturating_sub(threshold).min(BIN_WIDTH);
        self.calls * f64::from(width) / f64::from(BIN_WIDTH)
    }

    /// Priorities that `calls` of the bin take up.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn width_of(&self, calls: f64) -> u32 {
        let width = (f64::from(BIN_WIDTH) * calls / self.calls).clamp(0.0, f64::from(BIN_WIDTH));
        width as u32
    }
}

impl DemandTable {
    pub(super) fn new(now: TimePoint) -> Self {
        Self {
            ranks: RankTable::default(),
            ticked: now,
        }
    }

    pub(super) fn note(&mut self, priority: CallPriority) {
        let index = bin_index(priority);
        self.ranks.row_mut(priority.rank()).bins[index] += 1.0;
    }

    pub(super) fn tick(&mut self, now: TimePoint) {
        let elapsed = now.since(self.ticked).as_secs_f64();
        let kept = (-elapsed / DEMAND_MEMORY.as_secs_f64()).exp();
        for demand in self.ranks.values_mut() {
            for bin in &mut demand.bins {
                *bin *= kept;
            }
        }
        self.ticked = now;
    }

    /// Calls a second at `threshold` and above it.
    pub(super) fn rate_from(&self, threshold: CallPriority) -> f64 {
        let threshold = threshold.as_u32();
        let calls: f64 = self.bins().map(|bin| bin.calls_from(threshold)).sum();
        calls / DEMAND_MEMORY.as_secs_f64()
    }

    /// Lowest threshold that sheds `share` of the demand which `threshold` admits.
    pub(super) fn raised(&self, threshold: CallPriority, share: f64) -> CallPriority {
        let threshold = threshold.as_u32();
        let admitted: f64 = self.bins().map(|bin| bin.calls_from(threshold)).sum();
        let mut rest = share * admitted;
        for bin in self.bins() {
            let calls = bin.calls_from(threshold);
            if calls > 0.0 && calls >= rest {
                let start = bin.start.max(threshold);
                return CallPriority::from_u32(start + bin.width_of(rest));
            }
            rest -= calls;
        }
        CallPriority::from_u32(threshold)
    }

    /// Highest threshold that admits more than `threshold`, by `share` of all demand.
    pub(super) fn lowered(&self, threshold: CallPriority, share: f64) -> CallPriority {
        let threshold = threshold.as_u32();
        let demand: f64 = self.bins().map(|bin| bin.calls).sum();
        let mut rest = share * demand;
        for mut bin in self.bins().rev() {
            bin.calls = bin.calls.max(MIN_BIN_SHARE * demand);
            let calls = bin.calls - bin.calls_from(threshold);
            if calls > rest {
                let end = bin.end().min(threshold);
                let width = bin.width_of(rest).max(1);
                return CallPriority::from_u32(end.saturating_sub(width).max(bin.start));
            }
            rest -= calls;
        }
        CallPriority::LOWEST
    }

    /// In the order of priority, the lowest first.
    fn bins(&self) -> impl DoubleEndedIterator<Item = DemandBin> {
        self.ranks.iter().flat_map(|(rank, demand)| {
            let base = u32::from(rank) << 16;
            let indices = 0..BINS_PER_RANK;
            indices.zip(demand.bins).map(move |(index, calls)| {
                let start = base + index * BIN_WIDTH;
                DemandBin { start, calls }
            })
        })
    }
}

fn bin_index(priority: CallPriority) -> usize {
    let hash = priority.as_u32() & 0xffff;
    (hash / BIN_WIDTH) as usize
}
