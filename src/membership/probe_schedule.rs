use {
    super::{MemberKey, PeerIndex},
    rand::{Rng, seq::SliceRandom},
};

/// One in so many probes leaves the own data centre.
pub const REMOTE_PROBE_SHARE: u32 = 4;

/// Members in random order, each once a round.
#[derive(Clone, Debug, Default)]
struct ProbeRound {
    waiting: Vec<MemberKey>,
}

impl ProbeRound {
    fn next<R: Rng>(&mut self, members: &[MemberKey], rng: &mut R) -> Option<MemberKey> {
        if self.waiting.is_empty() {
            self.waiting.extend_from_slice(members);
            self.waiting.shuffle(rng);
        }
        self.waiting.pop()
    }
}

/// Whom to probe next: mostly members of the own data centre, sparingly the others.
#[derive(Clone, Debug, Default)]
pub struct ProbeSchedule {
    near: ProbeRound,
    remote: ProbeRound,
    count: u32,
}

impl ProbeSchedule {
    /// The next member; it may have died since the round began.
    pub fn next<R: Rng>(&mut self, peers: &PeerIndex, rng: &mut R) -> Option<MemberKey> {
        self.count = self.count.wrapping_add(1);
        let is_remote = peers.near.is_empty() || self.count.is_multiple_of(REMOTE_PROBE_SHARE);
        if is_remote && !peers.remote.is_empty() {
            return self.remote.next(&peers.remote, rng);
        }
        self.near.next(&peers.near, rng)
    }
}
