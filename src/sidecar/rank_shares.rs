use {
    super::served_count::ServedCount,
    crate::time::TimePoint,
    std::{collections::BTreeMap, time::Duration},
};

/// Time constant of the averages.
const SHARE_TIME_CONSTANT: Duration = Duration::from_secs(10);

/// Shares of the requests that are served, of all and by rank, as moving averages.
#[derive(Clone, Debug, Default)]
pub(super) struct RankShares {
    by_rank: BTreeMap<u8, ServedCount>,
}

impl RankShares {
    /// Records a request that was refused or has ended.
    pub(super) fn record(&mut self, now: TimePoint, rank: u8, is_served: bool) {
        let count = self.by_rank.entry(rank).or_default();
        count.record(now, SHARE_TIME_CONSTANT, is_served);
    }

    /// Whether requests of a rank are served less than `relative_share` times as often as all.
    pub(super) fn is_short(&mut self, now: TimePoint, rank: u8, relative_share: f64) -> bool {
        let mut all = ServedCount::default();
        for count in self.by_rank.values_mut() {
            count.advance(now, SHARE_TIME_CONSTANT);
            all.served += count.served;
            all.ended += count.ended;
        }
        let of_rank = self.by_rank.get(&rank);
        of_rank.is_some_and(|of_rank| {
            of_rank.served * all.ended < all.served * of_rank.ended * relative_share
        })
    }

    /// Forgets the ranks, whose order another configuration may change.
    pub(super) fn reset(&mut self) {
        self.by_rank.clear();
    }
}
