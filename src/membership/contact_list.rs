use {
    crate::time::TimePoint,
    rand::{Rng, RngExt},
    std::{net::SocketAddr, ops::Range, time::Duration},
};

/// Maximum number of contacts.
pub const MAX_CONTACTS: usize = 16_384;
/// Maximum number of contacts that are pinged in one attempt.
pub const CONTACTS_PER_ATTEMPT: usize = 4;

const MIN_RETRY_DELAY: Duration = Duration::from_millis(500);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(60);
/// Maximum delay between two attempts while no other member is known.
const MAX_RETRY_DELAY_ALONE: Duration = Duration::from_secs(2);

/// Range of the random factor of a delay, so that members do not attempt at the same time.
const JITTER_FACTORS: Range<f64> = 0.75..1.25;

/// Source of a contact, which determines when it is removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ContactSource {
    /// Kept until the settings change.
    Settings,
    /// Removed when the next scan of the member table no longer contains it.
    Table,
}

#[derive(Clone, Copy, Debug)]
struct GossipContact {
    address: SocketAddr,
    source: ContactSource,
}

/// Gossip addresses of daemons that may not be members yet.
#[derive(Clone, Debug, Default)]
pub struct ContactList {
    contacts: Vec<GossipContact>,
    next_attempt_at: TimePoint,
    retry_delay: Duration,
}

impl ContactList {
    /// Replaces the contacts from `source` and makes the next attempt due immediately.
    pub fn replace(&mut self, source: ContactSource, addresses: &[SocketAddr]) {
        self.contacts.retain(|contact| contact.source != source);
        let remaining = MAX_CONTACTS - self.contacts.len();
        let added = addresses.iter().take(remaining);
        self.contacts
            .extend(added.map(|&address| GossipContact { address, source }));
        self.next_attempt_at = TimePoint::ORIGIN;
        self.retry_delay = MIN_RETRY_DELAY;
    }

    /// Picks random contacts to ping now among those that are not members, with an exponential
    /// delay between attempts.
    pub fn pick_due<R: Rng>(
        &mut self,
        now: TimePoint,
        rng: &mut R,
        is_alone: bool,
        is_member: impl Fn(SocketAddr) -> bool,
    ) -> Vec<SocketAddr> {
        if now < self.next_attempt_at || self.contacts.is_empty() {
            return Vec::new();
        }
        let unknown = self.contacts.iter().map(|contact| contact.address);
        let mut unknown: Vec<_> = unknown.filter(|&address| !is_member(address)).collect();
        let count = unknown.len().min(CONTACTS_PER_ATTEMPT);
        for index in 0..count {
            let other = rng.random_range(index..unknown.len());
            unknown.swap(index, other);
        }
        unknown.truncate(count);
        self.next_attempt_at = now + self.retry_delay.mul_f64(rng.random_range(JITTER_FACTORS));
        let max_delay = if is_alone {
            MAX_RETRY_DELAY_ALONE
        } else {
            MAX_RETRY_DELAY
        };
        self.retry_delay = (self.retry_delay * 2).clamp(MIN_RETRY_DELAY, max_delay);
        unknown
    }
}
