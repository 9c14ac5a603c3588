use {
    super::{MemberKey, PeerIndex},
    rand::{Rng, seq::SliceRandom},
};

/// One in this many probes goes to another data centre.
pub const PROBES_PER_REMOTE_PROBE: u32 = 4;

/// One round of probes: every member once, in random order.
#[derive(Clone, Debug, Default)]
struct ProbeRound {
    pending: Vec<MemberKey>,
}

impl ProbeRound {
    fn next<R: Rng>(&mut self, members: &[MemberKey], rng: &mut R) -> Option<MemberKey> {
        if self.pending.is_empty() {
            self.pending.extend_from_slice(members);
            self.pending.shuffle(rng);
        }
        self.pending.pop()
    }
}

/// Order of probes: mostly members of the same data centre, less often those of others.
#[derive(Clone, Debug, Default)]
pub struct ProbeSchedule {
    local: ProbeRound,
    remote: ProbeRound,
    count: u32,
}

impl ProbeSchedule {
    /// Returns the next member; it may have been declared dead since the round began.
    pub fn next<R: Rng>(&mut self, peers: &PeerIndex, rng: &mut R) -> Option<MemberKey> {
        self.count = self.count.wrapping_add(1);
        let is_remote =
            peers.local.is_empty() || self.count.is_multiple_of(PROBES_PER_REMOTE_PROBE);
        if is_remote && !peers.remote.is_empty() {
            return self.remote.next(&peers.remote, rng);
        }
        self.local.next(&peers.local, rng)
    }
}
