/// Bits of a rank that order the routes within one rank of accounts.
const ROUTE_BITS: u8 = 4;
const MAX_INDEX: usize = (1 << ROUTE_BITS) - 1;

/// Orders requests by the priority of their account first and that of their route second.
///
/// The upper half of a rank is the account's, the lower half the route's; a higher value goes
/// first. Only the order of the priorities counts, so they may be any numbers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct RankScale {
    /// Priorities of the accounts in use, highest first.
    account_priorities: Vec<u8>,
    /// Ranks of the routes in use, highest first.
    route_ranks: Vec<u8>,
}

impl RankScale {
    pub(crate) fn new(mut route_ranks: Vec<u8>) -> Self {
        route_ranks.sort_unstable_by(|one, other| other.cmp(one));
        route_ranks.dedup();
        Self {
            account_priorities: Vec::new(),
            route_ranks,
        }
    }

    #[must_use]
    pub(crate) fn with_account_priorities(self, mut priorities: Vec<u8>) -> Self {
        priorities.sort_unstable();
        priorities.dedup();
        Self {
            account_priorities: priorities,
            ..self
        }
    }

    /// Rank of a request; one without an account goes with the lowest.
    pub(crate) fn rank(&self, account_priority: Option<u8>, route_rank: u8) -> u8 {
        let account_index = match account_priority {
            Some(priority) => self
                .account_priorities
                .partition_point(|other| *other < priority),
            None => self.account_priorities.len().saturating_sub(1),
        };
        let route_index = self
            .route_ranks
            .partition_point(|other| *other > route_rank);
        let index = (account_index.min(MAX_INDEX) << ROUTE_BITS) + route_index.min(MAX_INDEX);
        u8::MAX - u8::try_from(index).unwrap_or(u8::MAX)
    }

    /// The lowest rank that a request can have.
    pub(crate) fn lowest(&self) -> u8 {
        let route_rank = self.route_ranks.last().copied();
        self.rank(None, route_rank.unwrap_or(u8::MAX))
    }
}

/// The lowest and the highest rank with the same rank of the account.
pub(super) const fn account_band(rank: u8) -> (u8, u8) {
    let mask = (1 << ROUTE_BITS) - 1;
    (rank & !mask, rank | mask)
}
