use {
    super::{MemberKey, MemberRecord, MemberState, MemberTable},
    rand::{Rng, RngExt},
};

/// Keys of the other members, by location and state.
#[derive(Clone, Debug, Default)]
pub struct PeerIndex {
    /// Members of the same data centre that are not dead.
    pub local: Vec<MemberKey>,
    /// Members of other data centres that are not dead.
    pub remote: Vec<MemberKey>,
    /// Members of the same region that are neither suspect nor dead.
    pub same_region: Vec<MemberKey>,
    /// Members of any region that are neither suspect nor dead.
    pub unsuspected: Vec<MemberKey>,
    /// All members that are not dead.
    pub live: Vec<MemberKey>,
    pub dead: Vec<MemberKey>,
}

impl PeerIndex {
    /// Rebuilds the lists from all members of `table` except `own`.
    pub fn rebuild(&mut self, table: &MemberTable, own: &MemberRecord) {
        *self = Self::default();
        for (key, entry) in table.iter() {
            let record = &entry.record;
            if record.id.address == own.id.address {
                continue;
            }
            if entry.is_dead() {
                self.dead.push(key);
                continue;
            }
            self.live.push(key);
            let is_unsuspected = record.state != MemberState::Suspect;
            if is_unsuspected {
                self.unsuspected.push(key);
            }
            if is_unsuspected && record.region == own.region {
                self.same_region.push(key);
            }
            if record.region == own.region && record.data_centre == own.data_centre {
                self.local.push(key);
            } else {
                self.remote.push(key);
            }
        }
    }

    /// Members that updates are sent to: unsuspected ones, or all live ones if there are none.
    #[must_use]
    pub fn reachable(&self) -> &[MemberKey] {
        if self.unsuspected.is_empty() {
            &self.live
        } else {
            &self.unsuspected
        }
    }

    /// Number of members that are not dead, including this process.
    #[must_use]
    pub fn live_count(&self) -> usize {
        self.live.len() + 1
    }
}

/// Picks one of `keys` at random.
pub fn pick_one<R: Rng>(keys: &[MemberKey], rng: &mut R) -> Option<MemberKey> {
    if keys.is_empty() {
        return None;
    }
    Some(keys[rng.random_range(0..keys.len())])
}

/// Picks up to `count` distinct keys at random that satisfy `is_wanted`.
pub fn pick_some<R: Rng>(
    keys: &[MemberKey],
    count: usize,
    rng: &mut R,
    is_wanted: impl Fn(MemberKey) -> bool,
) -> Vec<MemberKey> {
    // A draw may repeat a key or yield an unwanted one.
    const ATTEMPTS_PER_PICK: usize = 4;
    let mut picked = Vec::with_capacity(count);
    for _ in 0..count * ATTEMPTS_PER_PICK {
        if picked.len() == count {
            break;
        }
        let Some(key) = pick_one(keys, rng) else {
            break;
        };
        if !picked.contains(&key) && is_wanted(key) {
            picked.push(key);
        }
    }
    picked
}
