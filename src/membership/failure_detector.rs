use {
    super::{
        GossipContext, JitteredTimer, MemberId, MemberKey, MemberProbe, MemberState, PacketBody,
        ProbeOrigin, ProbeSchedule, ProbeTable,
        peer_index::{pick_one, pick_some},
    },
    crate::time::TimePoint,
    rand::{Rng, RngExt},
    std::{collections::VecDeque, time::Duration},
};

/// Mean time between two probes that a member starts.
pub const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of members that are requested to probe a member that did not acknowledge a direct probe.
pub const INDIRECT_PROBES: usize = 3;
/// Mean time between two pings of dead members.
pub const RECONNECT_INTERVAL: Duration = Duration::from_secs(5);

/// Maximum number of suspects that this member pings.
pub const MAX_OWN_SUSPECTS: usize = 64;
/// Maximum number of suspects that this member pings in one probe interval.
pub const SUSPECT_PINGS_PER_PROBE_INTERVAL: usize = 4;

/// Probes members, directly and through others, and pings suspect and dead ones.
#[derive(Clone, Debug)]
pub struct FailureDetector {
    schedule: ProbeSchedule,
    probes: ProbeTable,
    /// Suspects that failed a probe of this member. Pings to them include the suspicion, so that
    /// they can refute it.
    own_suspects: VecDeque<MemberId>,
    probe_timer: JitteredTimer,
    reconnect_timer: JitteredTimer,
    probes_sent: u64,
    probes_failed: u64,
}

impl FailureDetector {
    pub fn new<R: Rng>(now: TimePoint, rng: &mut R) -> Self {
        Self {
            schedule: ProbeSchedule::default(),
            probes: ProbeTable::default(),
            own_suspects: VecDeque::new(),
            probe_timer: JitteredTimer::start(PROBE_INTERVAL, now, rng),
            reconnect_timer: JitteredTimer::start(RECONNECT_INTERVAL, now, rng),
            probes_sent: 0,
            probes_failed: 0,
        }
    }

    /// Number of probes that this member sent, without those on behalf of others.
    #[must_use]
    pub const fn probes_sent(&self) -> u64 {
        self.probes_sent
    }

    /// Number of probes of this member that were acknowledged neither directly nor indirectly.
    #[must_use]
    pub const fn probes_failed(&self) -> u64 {
        self.probes_failed
    }

    pub fn tick<R: Rng>(&mut self, context: &mut GossipContext, now: TimePoint, rng: &mut R) {
        self.handle_failed_probes(context, now);
        self.probe_indirectly(context, now, rng);
        if self.probe_timer.fire_if_due(now, rng) {
            self.probe_next_member(context, now, rng);
            self.ping_own_suspects(context, rng);
        }
        if self.reconnect_timer.fire_if_due(now, rng) {
            reconnect(context, rng);
        }
    }

    /// Discards the pending probes; needed after a pause of this process, which missed the acks.
    pub fn clear_probes(&mut self) {
        self.probes.clear();
    }

    /// Pings `target` on behalf of `requester`.
    pub fn relay_ping<R: Rng>(
        &mut self,
        context: &mut GossipContext,
        requester: MemberId,
        probe: u32,
        target: MemberId,
        now: TimePoint,
        rng: &mut R,
    ) {
        if context.registry.table().find_process(target).is_some() {
            let origin = ProbeOrigin::Relayed { requester, probe };
            self.ping(context, target, origin, now, rng);
        }
    }

    /// Removes the probe that `sender` acknowledged, and forwards the ack if the probe was relayed.
    pub fn acknowledge(&mut self, context: &mut GossipContext, sender: MemberId, number: u32) {
        let probe = self.probes.acknowledge(number, sender);
        let probe = probe.or_else(|| self.probes.acknowledge_relayed(number));
        if let Some(ProbeOrigin::Relayed { requester, probe }) = probe.map(|probe| probe.origin) {
            context.send(requester, PacketBody::Ack { probe });
        }
    }

    fn probe_next_member<R: Rng>(
        &mut self,
        context: &mut GossipContext,
        now: TimePoint,
        rng: &mut R,
    ) {
        // A round may contain members that were declared dead or removed since it began.
        const MAX_ATTEMPTS: usize = 8;
        for _ in 0..MAX_ATTEMPTS {
            let Some(key) = self.schedule.next(context.registry.peers(), rng) else {
                return;
            };
            if let Some(target) = probe_target(context, key) {
                self.probes_sent += 1;
                self.ping(context, target, ProbeOrigin::Local, now, rng);
                return;
            }
        }
    }

    fn ping<R: Rng>(
        &mut self,
        context: &mut GossipContext,
        target: MemberId,
        origin: ProbeOrigin,
        now: TimePoint,
        rng: &mut R,
    ) {
        let probe = MemberProbe {
            number: rng.random(),
            target,
            origin,
            sent_at: now,
            is_indirect: false,
        };
        if self.probes.insert(probe) {
            let number = probe.number;
            context.send(target, PacketBody::Ping { probe: number });
        }
    }

    /// Pings again the members that have not acknowledged yet, and requests indirect probes of
    /// them.
    fn probe_indirectly<R: Rng>(
        &mut self,
        context: &mut GossipContext,
        now: TimePoint,
        rng: &mut R,
    ) {
        for probe in self.probes.start_indirect(now) {
            let number = probe.number;
            context.send(probe.target, PacketBody::Ping { probe: number });
            let request = PacketBody::PingRequest {
                probe: number,
                target: probe.target,
            };
            for relay in pick_relays(context, probe.target, rng) {
                context.send(relay, request);
            }
        }
    }

    fn track_suspect(&mut self, target: MemberId) {
        if self.own_suspects.len() < MAX_OWN_SUSPECTS && !self.own_suspects.contains(&target) {
            self.own_suspects.push_back(target);
        }
    }

    fn ping_own_suspects<R: Rng>(&mut self, context: &mut GossipContext, rng: &mut R) {
        let count = self
            .own_suspects
            .len()
            .min(SUSPECT_PINGS_PER_PROBE_INTERVAL);
        for _ in 0..count {
            let Some(target) = self.own_suspects.pop_front() else {
                return;
            };
            let entry = context.registry.table().find_process(target);
            if entry.is_some_and(|entry| entry.record.state == MemberState::Suspect) {
                let probe = rng.random();
                context.send(target, PacketBody::Ping { probe });
                self.own_suspects.push_back(target);
            }
        }
    }

    fn handle_failed_probes(&mut self, context: &mut GossipContext, now: TimePoint) {
        for target in self.probes.remove_failed(now) {
            self.probes_failed += 1;
            let key = context.registry.table().find(target.address);
            let is_current = context.registry.table().find_process(target).is_some();
            if let Some(key) = key.filter(|_| is_current) {
                context.registry.handle_probe_failure(key, now);
                self.track_suspect(target);
            }
        }
    }
}

fn probe_target(context: &GossipContext, key: MemberKey) -> Option<MemberId> {
    let entry = context.registry.table().get(key)?;
    (!entry.is_dead()).then_some(entry.record.id)
}

/// Picks members that are alive and not `target`, from any region, so that the network paths
/// differ.
fn pick_relays<R: Rng>(context: &GossipContext, target: MemberId, rng: &mut R) -> Vec<MemberId> {
    let table = context.registry.table();
    let record_of = |key| table.get(key).map(|entry| &entry.record);
    let is_relay = |key| {
        record_of(key).is_some_and(|record| {
            record.state == MemberState::Alive && record.id.address != target.address
        })
    };
    let unsuspected = &context.registry.peers().unsuspected;
    let relays = pick_some(unsuspected, INDIRECT_PROBES, rng, is_relay);
    let relays = relays.into_iter().filter_map(record_of);
    relays.map(|record| record.id).collect()
}

/// Pings a dead member; if it was only unreachable, it refutes its death once it receives the ping.
fn reconnect<R: Rng>(context: &mut GossipContext, rng: &mut R) {
    let Some(key) = pick_one(&context.registry.peers().dead, rng) else {
        return;
    };
    let Some(entry) = context.registry.table().get(key) else {
        return;
    };
    let target = entry.record.id;
    let probe = rng.random();
    context.send(target, PacketBody::Ping { probe });
}
