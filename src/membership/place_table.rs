use {super::MemberRecord, crate::time::TimePoint, std::sync::Arc};

/// Data centres that a table knows at most.
pub const MAX_PLACES: usize = 256;

/// Key of a data centre in its table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct PlaceKey(usize);

impl PlaceKey {
    #[must_use]
    pub const fn index(self) -> usize {
        self.0
    }
}

/// One data centre of a region.
#[derive(Clone, Debug)]
pub struct PlaceEntry {
    region: Arc<str>,
    data_centre: Arc<str>,
    /// When any of its members was last heard.
    pub heard: TimePoint,
}

/// The data centres of all members; their names are stored once.
#[derive(Clone, Debug, Default)]
pub struct PlaceTable {
    places: Vec<PlaceEntry>,
}

impl PlaceTable {
    #[must_use]
    pub fn len(&self) -> usize {
        self.places.len()
    }

    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// All places, in the order of their keys.
    pub fn iter(&self) -> impl Iterator<Item = &PlaceEntry> {
        self.places.iter()
    }

    /// Notes that a member of the place was heard.
    pub fn note_heard(&mut self, key: PlaceKey, now: TimePoint) {
        self.places[key.0].heard = now;
    }

    /// The place of a record, whose names then share memory; `None` if there are too many.
    pub fn intern(&mut self, record: &mut MemberRecord, now: TimePoint) -> Option<PlaceKey> {
        let is_same = |place: &PlaceEntry| {
            place.data_centre == record.data_centre && place.region == record.region
        };
        if let Some(index) = self.places.iter().position(is_same) {
            let place = &self.places[index];
            record.region = place.region.clone();
            record.data_centre = place.data_centre.clone();
            return Some(PlaceKey(index));
        }
        if self.places.len() == MAX_PLACES {
            return None;
        }
        self.places.push(PlaceEntry {
            region: record.region.clone(),
            data_centre: record.data_centre.clone(),
            heard: now,
        });
        Some(PlaceKey(self.places.len() - 1))
    }
}
