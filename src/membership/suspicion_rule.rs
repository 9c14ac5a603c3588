use {
    super::{MemberEntry, MemberRecord, MemberState, MemberTable},
    crate::time::TimePoint,
    std::{collections::HashMap, sync::Arc, time::Duration},
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

    /// The data centres of which most members are silent.
    #[must_use]
    pub fn cut_off(&self, table: &MemberTable, own: &MemberRecord) -> CutOffPlaces {
        CutOffPlaces::count(table, own)
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct PlaceCount {
    members: u32,
    silent: u32,
}

/// Data centres of which most members are silent: more likely cut off than failed one by one.
#[derive(Clone, Debug, Default)]
pub struct CutOffPlaces {
    counts: HashMap<(Arc<str>, Arc<str>), PlaceCount>,
}

impl CutOffPlaces {
    fn count(table: &MemberTable, own: &MemberRecord) -> Self {
        let mut places = Self::default();
        for (_, entry) in table.iter() {
            let record = &entry.record;
            if entry.is_dead() || record.id.address == own.id.address {
                continue;
            }
            let place = (record.region.clone(), record.data_centre.clone());
            let count = places.counts.entry(place).or_default();
            count.members += 1;
            count.silent += u32::from(record.state == MemberState::Suspect);
        }
        places
    }

    /// Whether a suspect is kept because its whole data centre is silent.
    #[must_use]
    pub fn holds(&self, entry: &MemberEntry, now: TimePoint) -> bool {
        let record = &entry.record;
        let place = (record.region.clone(), record.data_centre.clone());
        let count = self.counts.get(&place).copied().unwrap_or_default();
        let is_cut = count.members >= MIN_CUT_MEMBERS && count.silent * 2 > count.members;
        is_cut && now.since(entry.since) < CUT_RETENTION
    }
}
