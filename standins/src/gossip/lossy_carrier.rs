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
const NEAR_DELAY: Duration = Duration::from_micros(500);
const REGION_DELAY: Duration = Duration::from_millis(10);
/// Datagrams that the socket of a frozen process keeps.
const SOCKET_DATAGRAMS: usize = 200;
const EPOCH_MS: u64 = 1_760_000_000_000;

/// Where a member stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct MemberPlace {
    pub region: u16,
    pub data_centre: u16,
}

#[derive(Debug)]
struct CarriedMember {
    core: MembershipCore,
    place: MemberPlace,
    next_tick: TimePoint,
    is_up: bool,
    is_frozen: bool,
    waiting: VecDeque<Vec<u8>>,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum CarriedEvent {
    Tick(usize),
    Datagram { to: usize, datagram: Vec<u8> },
    Exchange { from: usize, to: usize },
}

/// Members, the links between them, and what is on its way.
#[derive(Debug)]
pub struct LossyCarrier {
    members: Vec<CarriedMember>,
    events: BinaryHeap<Reverse<(TimePoint, u64, CarriedEvent)>>,
    order: u64,
    cuts: HashSet<(usize, usize)>,
    key: SharedKey,
    rng: SmallRng,
    epoch_ms: u64,
    /// Share of datagrams that is lost.
    pub loss: f64,
    pub now: TimePoint,
    /// Bytes of the messages of exchanges so far.
    pub exchange_bytes: u64,
    pub exchanges: u64,
}

impl LossyCarrier {
    #[must_use]
    pub fn new(seed: u64, loss: f64) -> Self {
        Self {
            members: Vec::new(),
            events: BinaryHeap::new(),
            order: 0,
            cuts: HashSet::new(),
            key: SharedKey::derive("test"),
            rng: SmallRng::seed_from_u64(seed),
            epoch_ms: EPOCH_MS,
            loss,
            now: TimePoint::from_millis(1_000),
            exchange_bytes: 0,
            exchanges: 0,
        }
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

    /// Starts a member that knows nobody.
    pub fn add(&mut self, place: MemberPlace) -> usize {
        let index = self.members.len();
        let core = self.new_core(index, place);
        let phase = TICK_INTERVAL.mul_f64(self.rng.random_range(0.0..1.0));
        let next_tick = self.now + phase;
        self.members.push(CarriedMember {
            core,
            place,
            next_tick,
            is_up: true,
            is_frozen: false,
            waiting: VecDeque::new(),
        });
        self.push(next_tick, CarriedEvent::Tick(index));
        index
    }

    /// Starts `count` members, in turn over the places, that all know the first one.
    pub fn add_many(&mut self, count: usize, places: &[MemberPlace]) {
        for index in 0..count {
            let index = self.add(places[index % places.len()]);
            if index > 0 {
                let contacts = [Self::address(0)];
                let core = self.core_mut(index);
                core.set_contacts(ContactSource::Settings, &contacts);
            }
        }
    }

    /// Ends a process without a word.
    pub fn kill(&mut self, index: usize) {
        self.members[index].is_up = false;
    }

    /// Starts a new process on the address of one that was killed.
    pub fn restart(&mut self, index: usize, contact: usize) {
        let place = self.members[index].place;
        let core = self.new_core(index, place);
        let member = &mut self.members[index];
        member.core = core;
        member.is_up = true;
        member.waiting.clear();
        let contacts = [Self::address(contact)];
        member.core.set_contacts(ContactSource::Settings, &contacts);
    }

    /// Makes the wall clock that later processes read wrong.
    pub fn step_wall_clock_back(&mut self, span: Duration) {
        self.epoch_ms -= u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
    }

    /// Pauses a process; its socket goes on to receive.
    pub fn freeze(&mut self, index: usize) {
        self.members[index].is_frozen = true;
    }

    pub fn thaw(&mut self, index: usize) {
        self.members[index].is_frozen = false;
        let waiting = std::mem::take(&mut self.members[index].waiting);
        for datagram in waiting {
            self.deliver(index, &datagram);
        }
    }

    /// Loses all that `from` sends to `to`.
    pub fn cut_one_way(&mut self, from: usize, to: usize) {
        self.cuts.insert((from, to));
    }

    /// Loses all between the members that `is_inside` and the others.
    pub fn cut_off(&mut self, is_inside: impl Fn(MemberPlace) -> bool) {
        for from in 0..self.members.len() {
            for to in 0..self.members.len() {
                let from_inside = is_inside(self.members[from].place);
                if from_inside != is_inside(self.members[to].place) {
                    self.cuts.insert((from, to));
                }
            }
        }
    }

    pub fn heal(&mut self) {
        self.cuts.clear();
    }

    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(Reverse((at, ..))) = self.events.peek() {
            if *at > end {
                break;
            }
            let Some(Reverse((at, _, event))) = self.events.pop() else {
                break;
            };
            self.now = at;
            self.handle(event);
        }
        self.now = end;
    }

    /// Runs until `is_reached`, looking each tick; `None` if it is not within `limit`.
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

    /// What `observer` holds of the process on the address of `subject`.
    #[must_use]
    pub fn record(&self, observer: usize, subject: usize) -> Option<&MemberRecord> {
        let table = self.core(observer).registry().table();
        let entry = table.get(table.find(Self::address(subject))?)?;
        Some(&entry.record)
    }

    /// Whether all processes that run hold `subject` in `state`.
    #[must_use]
    pub fn all_see(&self, subject: usize, state: MemberState) -> bool {
        self.observers().all(|observer| {
            self.record(observer, subject)
                .is_some_and(|record| record.state == state)
        })
    }

    /// Whether all processes that run hold each other as alive.
    #[must_use]
    pub fn is_whole(&self) -> bool {
        self.observers()
            .all(|subject| self.all_see(subject, MemberState::Alive))
    }

    /// Processes that run.
    pub fn observers(&self) -> impl Iterator<Item = usize> {
        let is_up = |index: &usize| self.members[*index].is_up && !self.members[*index].is_frozen;
        (0..self.members.len()).filter(is_up)
    }

    fn new_core(&mut self, index: usize, place: MemberPlace) -> MembershipCore {
        let mesh = SocketAddr::new(Self::address(index).ip(), GOSSIP_PORT + 1);
        let own = MemberRecord {
            id: MemberId {
                address: Self::address(index),
                started_ms: self.epoch_ms + self.now.as_millis(),
            },
            incarnation: 1,
            state: MemberState::Alive,
            region: format!("region-{}", place.region).into(),
            data_centre: format!("dc-{}", place.data_centre).into(),
            mesh,
            admin: mesh,
            target: None,
            policy_version: 0,
        };
        MembershipCore::new(own, &self.key, self.now, &mut self.rng)
    }

    fn push(&mut self, at: TimePoint, event: CarriedEvent) {
        self.order += 1;
        self.events.push(Reverse((at, self.order, event)));
    }

    fn handle(&mut self, event: CarriedEvent) {
        match event {
            CarriedEvent::Tick(index) => self.tick(index),
            CarriedEvent::Datagram { to, datagram } => self.deliver(to, &datagram),
            CarriedEvent::Exchange { from, to } => self.exchange(from, to),
        }
    }

    fn tick(&mut self, index: usize) {
        let member = &mut self.members[index];
        member.next_tick = member.next_tick + TICK_INTERVAL;
        let next = member.next_tick;
        if member.is_up && !member.is_frozen {
            member.core.tick(self.now, &mut self.rng);
            self.carry_out(index);
        }
        self.push(next, CarriedEvent::Tick(index));
    }

    fn deliver(&mut self, to: usize, datagram: &[u8]) {
        let member = &mut self.members[to];
        if member.is_frozen {
            if member.waiting.len() < SOCKET_DATAGRAMS {
                member.waiting.push_back(datagram.to_vec());
            }
        } else if member.is_up {
            member.core.receive(datagram, self.now, &mut self.rng);
            self.carry_out(to);
        }
    }

    fn carry_out(&mut self, from: usize) {
        let effects: Vec<_> = self.members[from].core.take_effects().collect();
        for effect in effects {
            match effect {
                CoreEffect::Send { to, datagram } => self.send(from, index_of(to), datagram),
                CoreEffect::StartExchange { peer } => {
                    let to = index_of(peer.address);
                    let at = self.now + self.delay(from, to) * 4;
                    self.push(at, CarriedEvent::Exchange { from, to });
                }
                CoreEffect::MemberChanged { .. } => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, datagram: Vec<u8>) {
        let is_lost = self.rng.random_bool(self.loss);
        if is_lost || self.cuts.contains(&(from, to)) || to >= self.members.len() {
            return;
        }
        let at = self.now + self.delay(from, to);
        self.push(at, CarriedEvent::Datagram { to, datagram });
    }

    fn exchange(&mut self, from: usize, to: usize) {
        let is_cut = self.cuts.contains(&(from, to)) || self.cuts.contains(&(to, from));
        let is_running = |index: usize| self.members[index].is_up && !self.members[index].is_frozen;
        if is_cut || !is_running(from) || !is_running(to) {
            return;
        }
        self.exchanges += 1;
        let open = self.core(from).exchange_digest();
        let Some(answer) = self.core(to).compare_digest(&open) else {
            return;
        };
        let push = self.core(from).build_push(&answer);
        let now = self.now;
        self.exchange_bytes += encoded_len(&open) + encoded_len(&answer) + encoded_len(&push);
        let reply = self.core_mut(to).apply_push(push, now);
        self.exchange_bytes += encoded_len(&reply);
        self.core_mut(from).apply_reply(reply, now);
    }

    fn delay(&self, from: usize, to: usize) -> Duration {
        let is_near = self
            .members
            .get(to)
            .is_none_or(|member| member.place.region == self.members[from].place.region);
        if is_near { NEAR_DELAY } else { REGION_DELAY }
    }
}

fn index_of(address: SocketAddr) -> usize {
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
