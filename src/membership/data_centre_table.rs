use {super::MemberRecord, crate::time::TimePoint, std::sync::Arc};

/// Maximum number of data centres in a table.
pub const MAX_DATA_CENTRES: usize = 256;

/// Index of a data centre in its table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct DataCentreKey(usize);

impl DataCentreKey {
    #[must_use]
    pub const fn index(self) -> usize {
        self.0
    }
}

/// One data centre of a region.
#[derive(Clone, Debug)]
pub struct DataCentreEntry {
    region: Arc<str>,
    data_centre: Arc<str>,
    /// When a datagram last arrived from any of its members.
    pub last_datagram_at: TimePoint,
}

/// The data centres of all members; each name is stored once.
#[derive(Clone, Debug, Default)]
pub struct DataCentreTable {
    data_centres: Vec<DataCentreEntry>,
}

impl DataCentreTable {
    #[must_use]
    pub fn len(&self) -> usize {
        self.data_centres.len()
    }

    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.data_centres.is_empty()
    }

    /// All data centres, in the order of their keys.
    pub fn iter(&self) -> impl Iterator<Item = &DataCentreEntry> {
        self.data_centres.iter()
    }

    /// Records that a datagram arrived from a member of the data centre.
    pub fn record_datagram(&mut self, key: DataCentreKey, now: TimePoint) {
        self.data_centres[key.0].last_datagram_at = now;
    }

    /// Returns the key of the data centre of a record and makes the record share its stored names;
    /// `None` if the table is full.
    pub fn intern(&mut self, record: &mut MemberRecord, now: TimePoint) -> Option<DataCentreKey> {
        let is_same = |entry: &DataCentreEntry| {
            entry.data_centre == record.data_centre && entry.region == record.region
        };
        if let Some(index) = self.data_centres.iter().position(is_same) {
            let entry = &self.data_centres[index];
            record.region = entry.region.clone();
            record.data_centre = entry.data_centre.clone();
            return Some(DataCentreKey(index));
        }
        if self.data_centres.len() == MAX_DATA_CENTRES {
            return None;
        }
        self.data_centres.push(DataCentreEntry {
            region: record.region.clone(),
            data_centre: record.data_centre.clone(),
            last_datagram_at: now,
        });
        Some(DataCentreKey(self.data_centres.len() - 1))
    }
}
