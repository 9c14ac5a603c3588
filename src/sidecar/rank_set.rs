/// Bits in one word of the set.
const WORD_BITS: usize = 64;

/// Set of ranks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct RankSet([u64; 4]);

impl RankSet {
    pub(super) fn insert(&mut self, rank: u8) {
        let index = usize::from(rank);
        self.0[index / WORD_BITS] |= 1 << (index % WORD_BITS);
    }

    pub(super) fn merge(&mut self, other: Self) {
        for (word, other) in self.0.iter_mut().zip(other.0) {
            *word |= other;
        }
    }

    pub(super) fn lowest(&self) -> Option<u8> {
        (0..=u8::MAX).find(|rank| self.contains(*rank))
    }

    pub(super) fn highest(&self) -> Option<u8> {
        (0..=u8::MAX).rev().find(|rank| self.contains(*rank))
    }

    /// Number of ranks in the set that are below `rank`.
    pub(super) fn count_below(&self, rank: u8) -> u32 {
        let index = usize::from(rank);
        let whole = &self.0[..index / WORD_BITS];
        let partial = self.0[index / WORD_BITS] & ((1 << (index % WORD_BITS)) - 1);
        whole.iter().map(|word| word.count_ones()).sum::<u32>() + partial.count_ones()
    }

    /// The ranks from `first` to `last`.
    pub(super) fn range(&self, first: u8, last: u8) -> Self {
        let mut range = Self::default();
        for rank in (first..=last).filter(|rank| self.contains(*rank)) {
            range.insert(rank);
        }
        range
    }

    fn contains(&self, rank: u8) -> bool {
        let index = usize::from(rank);
        self.0[index / WORD_BITS] & (1 << (index % WORD_BITS)) != 0
    }
}
