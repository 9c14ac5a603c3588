/// One value for each class rank in use.
#[derive(Clone, Debug)]
pub(super) struct RankTable<T> {
    rows: Vec<RankRow<T>>,
}

#[derive(Clone, Debug)]
struct RankRow<T> {
    rank: u8,
    value: T,
}

impl<T> Default for RankTable<T> {
    fn default() -> Self {
        Self { rows: Vec::new() }
    }
}

impl<T: Default> RankTable<T> {
    /// The value of `rank`, created on first use.
    pub(super) fn row_mut(&mut self, rank: u8) -> &mut T {
        let index = match self.search(rank) {
            Ok(index) => index,
            Err(index) => {
                let value = T::default();
                self.rows.insert(index, RankRow { rank, value });
                index
            }
        };
        &mut self.rows[index].value
    }
}

impl<T> RankTable<T> {
    pub(super) fn row(&self, rank: u8) -> Option<&T> {
        let index = self.search(rank).ok()?;
        Some(&self.rows[index].value)
    }

    /// In ascending order of rank.
    pub(super) fn iter(&self) -> impl DoubleEndedIterator<Item = (u8, &T)> {
        self.rows.iter().map(|row| (row.rank, &row.value))
    }

    pub(super) fn values_mut(&mut self) -> impl Iterator<Item = &mut T> {
        self.rows.iter_mut().map(|row| &mut row.value)
    }

    fn search(&self, rank: u8) -> Result<usize, usize> {
        self.rows.binary_search_by_key(&rank, |row| row.rank)
    }
}
