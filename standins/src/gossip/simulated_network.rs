use {
    banyantrestle::{
        auth::SharedKey,
        membership::{
            ContactSource, CoreEffect, MemberId, MemberRecord, MemberState, MembershipCore,
            TICK_INTERVAL,
        },
        time::TimePoint,
    },
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::{
        cmp::Reverse,
        collections::{BinaryHeap, HashSet, VecDeque},
        net::{Ipv4Addr, SocketAddr},
        time::Duration,
    },
};

const GOSSIP_PORT: u16 = 7_000;
/// One-way delay between members of one region.
const SAME_REGION_DELAY: Duration = Duration::from_micros(500);
/// One-way delay between members of different regions.
const CROSS_REGION_DELAY: Duration = Duration::from_millis(10);
/// Datagrams that the socket of a paused process buffers; further ones are dropped.
const MAX_QUEUED_DATAGRAMS: usize = 200;
/// Simulated time when the network is created.
const START_TIME: TimePoint = TimePoint::from_millis(1_000);
/// Wall clock at simulated time zero, in ms since the Unix epoch.
const WALL_CLOCK_BASE_MS: u64 = 1_760_000_000_000;
/// Time from the request for an exchange until its messages are applied, in one-way delays.
const EXCHANGE_LINK_DELAYS: u32 = 4;

/// Region and data centre of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct MemberLocation {
    pub region: u16,
    pub data_centre: u16,
}

#[derive(Debug)]
struct SimulatedMember {
    core: MembershipCore,
    location: MemberLocation,
    next_tick: TimePoint,
    is_up: bool,
    is_paused: bool,
    /// Datagrams received while the process was paused.
    queued_datagrams: VecDeque<Vec<u8>>,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum NetworkEvent {
    Tick(usize),
    Datagram { to: usize, datagram: Vec<u8> },
    Exchange { from: usize, to: usize },
}

/// Members, the links between them, and pending events in order of simulated time.
#[derive(Debug)]
pub struct SimulatedNetwork {
    members: Vec<SimulatedMember>,
    events: BinaryHeap<Reverse<(TimePoint, u64, NetworkEvent)>>,
    /// Sequence number of the last event; orders events at the same time.
    last_sequence: u64,
    /// Links that deliver nothing, as sender and recipient.
    blocked_links: HashSet<(usize, usize)>,
    key: SharedKey,
    rng: SmallRng,
    wall_clock_base_ms: u64,
    /// Share of datagrams that are lost, from 0 to 1.
    pub loss_ratio: f64,
    pub now: TimePoint,
    /// Bytes of the messages of all exchanges so far.
    pub exchange_bytes: u64,
    pub exchanges: u64,
}

impl SimulatedNetwork {
    #[must_use]
    pub fn new(seed: u64, loss_ratio: f64) -> Self {
        Self {
            members: Vec::new(),
            events: BinaryHeap::new(),
            last_sequence: 0,
            blocked_links: HashSet::new(),
            key: SharedKey::derive("test"),
            rng: SmallRng::seed_from_u64(seed),
            wall_clock_base_ms: WALL_CLOCK_BASE_MS,
            loss_ratio,
            now: START_TIME,
            exchange_bytes: 0,
            exchanges: 0,
        }
    }

    /// Sets the key of processes that start later.
    pub fn set_key(&mut self, key: SharedKey) {
        self.key = key;
    }

    #[must_use]
    pub fn core(&self, index: usize) -> &MembershipCore {
        &self.members[index].core
    }

    pub fn core_mut(&mut self, index: usize) -> &mut MembershipCore {
        &mut self.members[index].core
    }

    #[must_use]
    pub fn address(index: usize) -> SocketAddr {
        let [.., high, low] = u32::try_from(index).unwrap_or(u32::MAX).to_be_bytes();
        SocketAddr::new(Ipv4Addr::new(10, 0, high, low).into(), GOSSIP_PORT)
    }

    /// Starts a member that knows no other member.
    pub fn add_member(&mut self, location: MemberLocation) -> usize {
        let index = self.members.len();
        let core = self.new_core(index, location);
        let phase = TICK_INTERVAL.mul_f64(self.rng.random_range(0.0..1.0));
        let next_tick = self.now + phase;
        self.members.push(SimulatedMember {
            core,
            location,
            next_tick,
            is_up: true,
            is_paused: false,
            queued_datagrams: VecDeque::new(),
        });
        self.schedule(next_tick, NetworkEvent::Tick(index));
        index
    }

    /// Starts `count` members at the locations in turn; each knows the first member.
    pub fn add_members(&mut self, count: usize, locations: &[MemberLocation]) {
        for index in 0..count {
            let index = self.add_member(locations[index % locations.len()]);
            if index > 0 {
                let contacts = [Self::address(0)];
                let core = self.core_mut(index);
                core.set_contacts(ContactSource::Settings, &contacts);
            }
        }
    }

    /// Ends a process without a leave message.
    pub fn kill(&mut self, index: usize) {
        self.members[index].is_up = false;
    }

    /// Starts a new process at the address of a killed one; it knows only `contact`.
    pub fn restart(&mut self, index: usize, contact: usize) {
        let location = self.members[index].location;
        let core = self.new_core(index, location);
        let member = &mut self.members[index];
        member.core = core;
        member.is_up = true;
        member.queued_datagrams.clear();
        let contacts = [Self::address(contact)];
        member.core.set_contacts(ContactSource::Settings, &contacts);
    }

    /// Sets the wall clock back by `span` for processes that start later.
    pub fn step_wall_clock_back(&mut self, span: Duration) {
        self.wall_clock_base_ms -= u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
    }

    /// Pauses a process; its socket continues to receive.
    pub fn pause(&mut self, index: usize) {
        self.members[index].is_paused = true;
    }

    /// Resumes a paused process, which receives the queued datagrams first.
    pub fn resume(&mut self, index: usize) {
        self.members[index].is_paused = false;
        let queued_datagrams = std::mem::take(&mut self.members[index].queued_datagrams);
        for datagram in queued_datagrams {
            self.deliver(index, &datagram);
        }
    }

    /// Drops all datagrams from `from` to `to`, and all exchanges between the two.
    pub fn cut_link(&mut self, from: usize, to: usize) {
        self.blocked_links.insert((from, to));
    }

    /// Cuts the links between the members whose location satisfies `is_inside` and all others.
    pub fn cut_links(&mut self, is_inside: impl Fn(MemberLocation) -> bool) {
        for from in 0..self.members.len() {
            for to in 0..self.members.len() {
                let from_inside = is_inside(self.members[from].location);
                if from_inside != is_inside(self.members[to].location) {
                    self.blocked_links.insert((from, to));
                }
            }
        }
    }

    /// Restores all links that were cut.
    pub fn restore_links(&mut self) {
        self.blocked_links.clear();
    }

    /// Advances the simulated time by `span`.
    pub fn run(&mut self, span: Duration) {
        let end_time = self.now + span;
        while let Some(Reverse((at, ..))) = self.events.peek() {
            if *at > end_time {
                break;
            }
            let Some(Reverse((at, _, event))) = self.events.pop() else {
                break;
            };
            self.now = at;
            self.handle_event(event);
        }
        self.now = end_time;
    }

    /// Runs until `is_reached` holds, checked at each tick, and returns the time that this took;
    /// `None` if it does not hold within `limit`.
    pub fn run_until(
        &mut self,
        limit: Duration,
        is_reached: impl Fn(&Self) -> bool,
    ) -> Option<Duration> {
        let start = self.now;
        while self.now.since(start) < limit {
            self.run(TICK_INTERVAL);
            if is_reached(self) {
                return Some(self.now.since(start));
            }
        }
        None
    }

    /// Record that `observer` holds of the process at the address of `subject`.
    #[must_use]
    pub fn record(&self, observer: usize, subject: usize) -> Option<&MemberRecord> {
        let table = self.core(observer).registry().table();
        let entry = table.get(table.find(Self::address(subject))?)?;
        Some(&entry.record)
    }

    /// Whether all running processes hold a record of `subject` in `state`.
    #[must_use]
    pub fn all_record_state(&self, subject: usize, state: MemberState) -> bool {
        self.observers().all(|observer| {
            self.record(observer, subject)
                .is_some_and(|record| record.state == state)
        })
    }

    /// Whether all running processes hold each other as alive.
    #[must_use]
    pub fn is_fully_joined(&self) -> bool {
        self.observers()
            .all(|subject| self.all_record_state(subject, MemberState::Alive))
    }

    /// Indices of the running processes: those neither killed nor paused.
    pub fn observers(&self) -> impl Iterator<Item = usize> {
        let is_running =
            |index: &usize| self.members[*index].is_up && !self.members[*index].is_paused;
        (0..self.members.len()).filter(is_running)
    }

    fn new_core(&mut self, index: usize, location: MemberLocation) -> MembershipCore {
        let mesh = SocketAddr::new(Self::address(index).ip(), GOSSIP_PORT + 1);
        let own = MemberRecord {
            id: MemberId {
                address: Self::address(index),
                started_ms: self.wall_clock_base_ms + self.now.as_millis(),
            },
            incarnation: 1,
            state: MemberState::Alive,
            region: format!("region-{}", location.region).into(),
            data_centre: format!("dc-{}", location.data_centre).into(),
            mesh,
            admin: mesh,
            target: None,
            policy_version: 0,
        };
        MembershipCore::new(own, &self.key, self.now, &mut self.rng)
    }

    fn schedule(&mut self, at: TimePoint, event: NetworkEvent) {
        self.last_sequence += 1;
        self.events.push(Reverse((at, self.last_sequence, event)));
    }

    fn handle_event(&mut self, event: NetworkEvent) {
        match event {
            NetworkEvent::Tick(index) => self.tick(index),
            NetworkEvent::Datagram { to, datagram } => self.deliver(to, &datagram),
            NetworkEvent::Exchange { from, to } => self.exchange(from, to),
        }
    }

    fn tick(&mut self, index: usize) {
        let member = &mut self.members[index];
        member.next_tick = member.next_tick + TICK_INTERVAL;
        let next_tick = member.next_tick;
        if member.is_up && !member.is_paused {
            member.core.tick(self.now, &mut self.rng);
            self.apply_effects(index);
        }
        self.schedule(next_tick, NetworkEvent::Tick(index));
    }

    fn deliver(&mut self, to: usize, datagram: &[u8]) {
        let member = &mut self.members[to];
        if member.is_paused {
            if member.queued_datagrams.len() < MAX_QUEUED_DATAGRAMS {
                member.queued_datagrams.push_back(datagram.to_vec());
            }
        } else if member.is_up {
            member.core.receive(datagram, self.now, &mut self.rng);
            self.apply_effects(to);
        }
    }

    fn apply_effects(&mut self, from: usize) {
        let effects: Vec<_> = self.members[from].core.take_effects().collect();
        for effect in effects {
            match effect {
                CoreEffect::Send { to, datagram } => self.send(from, member_index(to), datagram),
                CoreEffect::StartExchange { peer } => {
                    let to = member_index(peer.address);
                    let at = self.now + self.link_delay(from, to) * EXCHANGE_LINK_DELAYS;
                    self.schedule(at, NetworkEvent::Exchange { from, to });
                }
                CoreEffect::MemberChanged { .. } => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, datagram: Vec<u8>) {
        let is_lost = self.rng.random_bool(self.loss_ratio);
        if is_lost || self.blocked_links.contains(&(from, to)) || to >= self.members.len() {
            return;
        }
        let at = self.now + self.link_delay(from, to);
        self.schedule(at, NetworkEvent::Datagram { to, datagram });
    }

    fn exchange(&mut self, from: usize, to: usize) {
        let is_blocked =
            self.blocked_links.contains(&(from, to)) || self.blocked_links.contains(&(to, from));
        let is_running = |index: usize| self.members[index].is_up && !self.members[index].is_paused;
        if is_blocked || !is_running(from) || !is_running(to) {
            return;
        }
        self.exchanges += 1;
        let digest = self.core(from).exchange_digest();
        let Some(diff) = self.core(to).compare_digest(&digest) else {
            return;
        };
        let push = self.core(from).build_push(&diff);
        let now = self.now;
        self.exchange_bytes += encoded_len(&digest) + encoded_len(&diff) + encoded_len(&push);
        let reply = self.core_mut(to).apply_push(push, now);
        self.exchange_bytes += encoded_len(&reply);
        self.core_mut(from).apply_reply(reply, now);
    }

    fn link_delay(&self, from: usize, to: usize) -> Duration {
        let is_same_region = self
            .members
            .get(to)
            .is_none_or(|member| member.location.region == self.members[from].location.region);
        if is_same_region {
            SAME_REGION_DELAY
        } else {
            CROSS_REGION_DELAY
        }
    }
}

fn member_index(address: SocketAddr) -> usize {
    match address.ip() {
        std::net::IpAddr::V4(ip) => {
            let [_, _, high, low] = ip.octets();
            usize::from(u16::from_be_bytes([high, low]))
        }
        std::net::IpAddr::V6(_) => usize::MAX,
    }
}

fn encoded_len<M: serde::Serialize>(message: &M) -> u64 {
    postcard::to_extend(message, Vec::new()).map_or(0, |bytes| bytes.len() as u64)
}
