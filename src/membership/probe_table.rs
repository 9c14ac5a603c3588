use {super::MemberId, crate::time::TimePoint, slab::Slab, std::time::Duration};

/// Time after which a probe without an ack is sent again, also through other members.
pub const DIRECT_PROBE_TIMEOUT: Duration = Duration::from_millis(400);
/// Time after which a probe without an ack has failed.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Maximum number of pending probes, including those on behalf of others.
pub const MAX_PROBES: usize = 1_024;

/// Member that started a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeOrigin {
    /// This process.
    Local,
    /// `requester`, which identifies the probe by the number `probe`.
    Relayed { requester: MemberId, probe: u32 },
}

/// One pending probe.
#[derive(Clone, Copy, Debug)]
pub struct MemberProbe {
    pub number: u32,
    pub target: MemberId,
    pub origin: ProbeOrigin,
    pub sent_at: TimePoint,
    /// Whether indirect probes were requested.
    pub is_indirect: bool,
}

/// Pending probes.
#[derive(Clone, Debug, Default)]
pub struct ProbeTable {
    probes: Slab<MemberProbe>,
}

impl ProbeTable {
    /// Adds a probe; returns false if the table is full.
    pub fn insert(&mut self, probe: MemberProbe) -> bool {
        let has_room = self.probes.len() < MAX_PROBES;
        if has_room {
            self.probes.insert(probe);
        }
        has_room
    }

    /// Removes the probe `number` of `target`.
    pub fn acknowledge(&mut self, number: u32, target: MemberId) -> Option<MemberProbe> {
        let mut probes = self.probes.iter();
        let (index, _) =
            probes.find(|(_, probe)| probe.number == number && probe.target == target)?;
        Some(self.probes.remove(index))
    }

    /// Removes the probe `number` of this process after an ack that any member forwarded.
    pub fn acknowledge_relayed(&mut self, number: u32) -> Option<MemberProbe> {
        let mut probes = self.probes.iter();
        let (index, _) = probes
            .find(|(_, probe)| probe.number == number && probe.origin == ProbeOrigin::Local)?;
        Some(self.probes.remove(index))
    }

    /// Marks the probes of this process that are due for indirect probing, and returns each of them
    /// once.
    pub fn start_indirect(&mut self, now: TimePoint) -> impl Iterator<Item = &MemberProbe> {
        self.probes.iter_mut().filter_map(move |(_, probe)| {
            let is_due = now.since(probe.sent_at) >= DIRECT_PROBE_TIMEOUT;
            if probe.is_indirect || !is_due || probe.origin != ProbeOrigin::Local {
                return None;
            }
            probe.is_indirect = true;
            Some(&*probe)
        })
    }

    /// Removes the probes that have failed and returns the targets of those that this process
    /// started.
    pub fn remove_failed(&mut self, now: TimePoint) -> Vec<MemberId> {
        let mut failed = Vec::new();
        self.probes.retain(|_, probe| {
            let is_pending = now.since(probe.sent_at) < PROBE_TIMEOUT;
            if !is_pending && probe.origin == ProbeOrigin::Local {
                failed.push(probe.target);
            }
            is_pending
        });
        failed
    }

    /// Removes all probes; needed after a pause of this process.
    pub fn clear(&mut self) {
        self.probes.clear();
    }
}
