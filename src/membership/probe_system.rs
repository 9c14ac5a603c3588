use {
    super::{
        GossipChannel, MemberId, MemberKey, MemberProbe, MemberState, PacketBody, PeriodicStep,
        ProbePurpose, ProbeSchedule, ProbeTable,
        peer_index::{pick_one, pick_some},
    },
    crate::time::TimePoint,
    rand::{Rng, RngExt},
    std::{collections::VecDeque, time::Duration},
};

/// Time between two probes of one member.
pub const PROBE_PERIOD: Duration = Duration::from_secs(1);
/// Members that are asked to probe on behalf of one that got no answer.
pub const INDIRECT_PROBES: usize = 3;
/// Time between two tries to reach a dead member again.
pub const RECONNECT_PERIOD: Duration = Duration::from_secs(5);

/// Suspects that a member follows at most.
pub const MAX_FOLLOWED: usize = 64;
/// Followed suspects that are pinged in one probe period.
pub const FOLLOWED_PER_PERIOD: usize = 4;

/// Finds out which members answer.
#[derive(Clone, Debug)]
pub struct ProbeSystem {
    schedule: ProbeSchedule,
    probes: ProbeTable,
    /// Suspects that this member was the first to miss; it tells them so that they can refute.
    followed: VecDeque<MemberId>,
    probe: PeriodicStep,
    reconnect: PeriodicStep,
    sent: u64,
    failed: u64,
}

impl ProbeSystem {
    pub fn new<R: Rng>(now: TimePoint, rng: &mut R) -> Self {
        Self {
            schedule: ProbeSchedule::default(),
            probes: ProbeTable::default(),
            followed: VecDeque::new(),
            probe: PeriodicStep::start(PROBE_PERIOD, now, rng),
            reconnect: PeriodicStep::start(RECONNECT_PERIOD, now, rng),
            sent: 0,
            failed: 0,
        }
    }

    /// Own probes sent.
    #[must_use]
    pub const fn sent(&self) -> u64 {
        self.sent
    }

    /// Own probes that got no answer by any way.
    #[must_use]
    pub const fn failed(&self) -> u64 {
        self.failed
    }

    pub fn tick<R: Rng>(&mut self, channel: &mut GossipChannel, now: TimePoint, rng: &mut R) {
        self.conclude_failed(channel, now);
        self.probe_indirectly(channel, now, rng);
        if self.probe.is_due(now, rng) {
            self.probe_next(channel, now, rng);
            self.ping_followed(channel, rng);
        }
        if self.reconnect.is_due(now, rng) {
            reconnect(channel, rng);
        }
    }

    /// Forgets the probes under way, as after a pause of this process.
    pub fn forget(&mut self) {
        self.probes.clear();
    }

    /// Pings `target` for `requester`.
    pub fn relay<R: Rng>(
        &mut self,
        channel: &mut GossipChannel,
        requester: MemberId,
        probe: u32,
        target: MemberId,
        now: TimePoint,
        rng: &mut R,
    ) {
        if channel.register.table().find_process(target).is_some() {
            let purpose = ProbePurpose::Relay { requester, probe };
            self.ping(channel, target, purpose, now, rng);
        }
    }

    /// Takes an acknowledgement of `sender`, and hands it on if the probe was a relayed one.
    pub fn acknowledge(&mut self, channel: &mut GossipChannel, sender: MemberId, number: u32) {
        let probe = self.probes.acknowledge(number, sender);
        let probe = probe.or_else(|| self.probes.acknowledge_relayed(number));
        if let Some(ProbePurpose::Relay { requester, probe }) = probe.map(|probe| probe.purpose) {
            channel.send(requester, PacketBody::Ack { probe });
        }
    }

    fn probe_next<R: Rng>(&mut self, channel: &mut GossipChannel, now: TimePoint, rng: &mut R) {
        const TRIES: usize = 8;
        for _ in 0..TRIES {
            let Some(key) = self.schedule.next(channel.register.peers(), rng) else {
                return;
            };
            if let Some(target) = probe_target(channel, key) {
                self.sent += 1;
                self.ping(channel, target, ProbePurpose::Own, now, rng);
                return;
            }
        }
    }

    fn ping<R: Rng>(
        &mut self,
        channel: &mut GossipChannel,
        target: MemberId,
        purpose: ProbePurpose,
        now: TimePoint,
        rng: &mut R,
    ) {
        let probe = MemberProbe {
            number: rng.random(),
            target,
            purpose,
            sent_at: now,
            is_indirect: false,
        };
        if self.probes.insert(probe) {
            let number = probe.number;
            channel.send(target, PacketBody::Ping { probe: number });
        }
    }

    /// Pings again the members that have not answered yet, also through others.
    fn probe_indirectly<R: Rng>(
        &mut self,
        channel: &mut GossipChannel,
        now: TimePoint,
        rng: &mut R,
    ) {
        for probe in self.probes.turn_indirect(now) {
            let number = probe.number;
            channel.send(probe.target, PacketBody::Ping { probe: number });
            let request = PacketBody::PingRequest {
                probe: number,
                target: probe.target,
            };
            for helper in pick_helpers(channel, probe.target, rng) {
                channel.send(helper, request);
            }
        }
    }

    fn follow(&mut self, target: MemberId) {
        if self.followed.len() < MAX_FOLLOWED && !self.followed.contains(&target) {
            self.followed.push_back(target);
        }
    }

    fn ping_followed<R: Rng>(&mut self, channel: &mut GossipChannel, rng: &mut R) {
        let count = self.followed.len().min(FOLLOWED_PER_PERIOD);
        for _ in 0..count {
            let Some(target) = self.followed.pop_front() else {
                return;
            };
            let entry = channel.register.table().find_process(target);
            if entry.is_some_and(|entry| entry.record.state == MemberState::Suspect) {
                let probe = rng.random();
                channel.send(target, PacketBody::Ping { probe });
                self.followed.push_back(target);
            }
        }
    }

    fn conclude_failed(&mut self, channel: &mut GossipChannel, now: TimePoint) {
        for target in self.probes.take_failed(now) {
            self.failed += 1;
            let key = channel.register.table().find(target.address);
            let is_current = channel.register.table().find_process(target).is_some();
            if let Some(key) = key.filter(|_| is_current) {
                channel.register.note_silence(key, now);
                self.follow(target);
            }
        }
    }
}

fn probe_target(channel: &GossipChannel, key: MemberKey) -> Option<MemberId> {
    let entry = channel.register.table().get(key)?;
    (!entry.is_dead()).then_some(entry.record.id)
}

/// Members that seem alive and are not `target`, from anywhere, so that the ways differ.
fn pick_helpers<R: Rng>(channel: &GossipChannel, target: MemberId, rng: &mut R) -> Vec<MemberId> {
    let table = channel.register.table();
    let record_of = |key| table.get(key).map(|entry| &entry.record);
    let is_helper = |key| {
        record_of(key).is_some_and(|record| {
            record.state == MemberState::Alive && record.id.address != target.address
        })
    };
    let trusted = &channel.register.peers().trusted;
    let helpers = pick_some(trusted, INDIRECT_PROBES, rng, is_helper);
    let helpers = helpers.into_iter().filter_map(record_of);
    helpers.map(|record| record.id).collect()
}

/// Pings a dead member: it may have been cut off only, and refutes once it hears of it.
fn reconnect<R: Rng>(channel: &mut GossipChannel, rng: &mut R) {
    let Some(key) = pick_one(&channel.register.peers().dead, rng) else {
        return;
    };
    let Some(entry) = channel.register.table().get(key) else {
        return;
    };
    let target = entry.record.id;
    let probe = rng.random();
    channel.send(target, PacketBody::Ping { probe });
}
