use {
    super::{MemberEntry, MemberRecord, MemberState, MemberTable},
    crate::time::TimePoint,
    std::time::Duration,
};

/// Time that a suspect of a small deployment has to refute; grows with the logarithm of the size.
pub const SUSPICION_TIME: Duration = Duration::from_secs(4);
/// Longest time that the suspects of a data centre stay so while most of it is silent.
pub const CUT_RETENTION: Duration = Duration::from_secs(600);
/// Members of the smallest data centre that counts as a whole.
pub const MIN_CUT_MEMBERS: u32 = 3;

/// How long a suspect may stay silent.
#[derive(Clone, Copy, Debug)]
pub struct SuspicionRule {
    timeout: Duration,
}

impl SuspicionRule {
    #[must_use]
    pub fn new(members: usize) -> Self {
        let members = u32::try_from(members).unwrap_or(u32::MAX);
        let factor = f64::from(members).log10().max(1.0);
        Self {
            timeout: SUSPICION_TIME.mul_f64(factor),
        }
    }

    #[must_use]
    pub const fn timeout(&self) -> Duration {
        self.timeout
    }

    /// Whether a suspect has had its time.
    #[must_use]
    pub fn is_over(&self, entry: &MemberEntry, now: TimePoint) -> bool {
        let is_suspect = entry.record.state == MemberState::Suspect;
        is_suspect && now.since(entry.since) >= self.timeout
    }

    /// What tells a data centre that is cut off from members that failed one by one.
    #[must_use]
    pub fn cut_off(&self, table: &MemberTable, own: &MemberRecord) -> CutOffPlaces {
        CutOffPlaces::count(table, own)
    }
}

#[derive(Clone, Copy, Debug)]
struct PlaceSilence {
    members: u32,
    suspects: u32,
    heard: TimePoint,
}

/// Data centres that may be cut off: none of their members was heard, or most are suspects.
#[derive(Clone, Debug)]
pub struct CutOffPlaces {
    places: Vec<PlaceSilence>,
}

impl CutOffPlaces {
    fn count(table: &MemberTable, own: &MemberRecord) -> Self {
        let places = table.places().iter().map(|place| PlaceSilence {
            members: 0,
            suspects: 0,
            heard: place.heard,
        });
        let mut places: Vec<_> = places.collect();
        for (_, entry) in table.iter() {
            let record = &entry.record;
            if entry.is_dead() || record.id.address == own.id.address {
                continue;
            }
            let place = &mut places[entry.place.index()];
            place.members += 1;
            place.suspects += u32::from(record.state == MemberState::Suspect);
        }
        Self { places }
    }

    /// Whether a suspect is kept because its whole data centre is silent.
    #[must_use]
    pub fn holds(&self, entry: &MemberEntry, now: TimePoint) -> bool {
        let PlaceSilence {
            members,
            suspects,
            heard,
        } = self.places[entry.place.index()];
        let is_silent = heard <= entry.since || suspects * 2 > members;
        let is_within = now.since(entry.since) < CUT_RETENTION;
        members >= MIN_CUT_MEMBERS && is_silent && is_within
    }
}
