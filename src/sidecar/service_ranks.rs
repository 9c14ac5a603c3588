use super::{
    rank_scale::account_band,
    rank_set::RankSet,
    service_limiter::{CHEAP_LEVEL, MAX_RANK_LEVEL},
};

/// Factor by which a request must cost less than one of the highest rank to be admitted before it.
const CHEAP_COST_DIVISOR: f64 = 2.0;

/// Ranks of the requests that reach a service.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServiceRanks {
    ranks: RankSet,
    /// Ranks of the requests that reach any service.
    scale: RankSet,
    pub(super) lowest: u8,
    pub(super) highest: u8,
    /// Highest mean cost among the routes of the highest rank, in slot seconds per request.
    highest_rank_cost: f64,
    /// Least queue that requests of the lowest rank can afford, relative to the slots that they
    /// use; `None` if no latency is known.
    pub(super) affordable_queue: Option<f64>,
}

impl ServiceRanks {
    /// Ranks of one route with its mean cost; `None` if no request is known.
    pub(super) fn of_route(
        ranks: RankSet,
        slot_seconds: f64,
        affordable_queue: Option<f64>,
    ) -> Option<Self> {
        Some(Self {
            ranks,
            scale: ranks,
            lowest: ranks.lowest()?,
            highest: ranks.highest()?,
            highest_rank_cost: slot_seconds,
            affordable_queue,
        })
    }

    /// Level in which a request is admitted: its rank above the lowest.
    ///
    /// A request that costs so little that it hardly takes capacity from others goes with the
    /// highest level of its rank of accounts, and for the highest of these with a level of its own.
    /// Without that, the highest rank would keep out all others once it alone exceeds the capacity,
    /// although many cheap requests fit in the place of one expensive request.
    pub(super) fn level(&self, rank: u8, slot_seconds: f64) -> u8 {
        if !self.is_cheap(rank, slot_seconds) {
            return self.rank_level(rank);
        }
        let band_highest = self.band_highest(rank);
        if band_highest == self.highest {
            CHEAP_LEVEL
        } else {
            self.rank_level(band_highest)
        }
    }

    /// Whether a request costs much less than one of the highest rank, and its route is not the
    /// lowest.
    pub(super) fn is_cheap(&self, rank: u8, slot_seconds: f64) -> bool {
        let (first, last) = account_band(rank);
        let band_lowest = self.ranks.range(first, last).lowest();
        let is_above_lowest = band_lowest.is_none_or(|lowest| rank > lowest);
        is_above_lowest && slot_seconds * CHEAP_COST_DIVISOR <= self.highest_rank_cost
    }

    /// The highest rank of requests whose accounts have the same rank.
    pub(super) fn band_highest(&self, rank: u8) -> u8 {
        let (first, last) = account_band(rank);
        let highest = self.ranks.range(first, last).highest();
        highest.map_or(rank, |highest| highest.max(rank))
    }

    /// Cost of a request of the highest rank, in slot seconds.
    pub(super) fn highest_rank_cost(&self) -> f64 {
        self.highest_rank_cost
    }

    /// Level of the highest rank.
    pub(super) fn top_level(&self) -> u8 {
        self.rank_level(self.highest)
    }

    fn rank_level(&self, rank: u8) -> u8 {
        let below_lowest = self.scale.count_below(self.lowest);
        let level = self.scale.count_below(rank).saturating_sub(below_lowest);
        u8::try_from(level).unwrap_or(u8::MAX).min(MAX_RANK_LEVEL)
    }

    pub(super) fn set_scale(&mut self, scale: RankSet) {
        self.scale = scale;
    }

    pub(super) fn include_rank(&mut self, rank: u8) {
        self.ranks.insert(rank);
        self.scale.insert(rank);
        self.lowest = self.lowest.min(rank);
    }

    pub(super) fn merge(&mut self, other: Self) {
        if other.lowest < self.lowest {
            self.affordable_queue = other.affordable_queue;
        } else if other.lowest == self.lowest {
            let known = [self.affordable_queue, other.affordable_queue];
            self.affordable_queue = known.into_iter().flatten().reduce(f64::min);
        }
        self.ranks.merge(other.ranks);
        self.lowest = self.lowest.min(other.lowest);
        if other.highest > self.highest {
            self.highest = other.highest;
            self.highest_rank_cost = other.highest_rank_cost;
        } else if other.highest == self.highest {
            self.highest_rank_cost = self.highest_rank_cost.max(other.highest_rank_cost);
        }
    }
}
