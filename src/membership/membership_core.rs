use {
    super::{
        ContactList, ContactSource, CookieMint, CoreEffect, DropReason, ExchangeAnswer,
        ExchangeOpen, ExchangePush, ExchangeReply, ExchangeSystem, GossipChannel, GossipCounters,
        MemberId, MemberKey, MemberRecord, MemberRegister, MemberState, MemberUpdate, MemberView,
        PacketBody, PacketCodec, PacketHeader, PeriodicStep, PolicyBeacon, ProbeSystem,
        TargetAnnouncement, UpdateReader, gossip_system::spread_updates,
        member_register::MAX_EXCHANGE_RUMOURS, table_exchange,
    },
    crate::{auth::SharedKey, time::TimePoint},
    rand::{Rng, RngExt},
    std::{net::SocketAddr, time::Duration},
};

/// Time between two ticks of the core.
pub const TICK_PERIOD: Duration = Duration::from_millis(100);
/// Time for which the dead are remembered.
pub const TOMBSTONE_RETENTION: Duration = Duration::from_secs(3_600);
/// Gap between two ticks that means that this process was paused.
pub const PAUSE_GAP: Duration = Duration::from_secs(2);

const SWEEP_PERIOD: Duration = Duration::from_secs(10);

/// The member role of one process, without clock and sockets.
///
/// Datagrams and ticks go in; what the carrier has to do comes out of [`Self::effects`].
#[derive(Clone, Debug)]
pub struct MembershipCore {
    channel: GossipChannel,
    probes: ProbeSystem,
    contacts: ContactList,
    cookies: CookieMint,
    exchanges: ExchangeSystem,
    sweep: PeriodicStep,
    last_tick: Option<TimePoint>,
    is_beacon_new: bool,
    counters: GossipCounters,
}

impl MembershipCore {
    pub fn new<R: Rng>(own: MemberRecord, key: &SharedKey, now: TimePoint, rng: &mut R) -> Self {
        let register = MemberRegister::new(own, now);
        Self {
            channel: GossipChannel::new(register, PacketCodec::new(key.clone())),
            probes: ProbeSystem::new(now, rng),
            contacts: ContactList::default(),
            cookies: CookieMint::new(key.clone(), rng),
            exchanges: ExchangeSystem::new(now, rng),
            sweep: PeriodicStep::start(SWEEP_PERIOD, now, rng),
            last_tick: None,
            is_beacon_new: false,
            counters: GossipCounters::default(),
        }
    }

    #[must_use]
    pub const fn register(&self) -> &MemberRegister {
        &self.channel.register
    }

    /// The record of this process.
    #[must_use]
    pub const fn own(&self) -> &MemberRecord {
        self.channel.register.own()
    }

    /// Counts since the start; the carrier adds those of the exchanges.
    #[must_use]
    pub const fn counters(&self) -> GossipCounters {
        let mut counters = self.counters;
        counters.probes = self.probes.sent();
        counters.probe_failures = self.probes.failed();
        counters.suspicions = self.channel.register.suspicions();
        counters.refutations = self.channel.register.refutations();
        counters
    }

    /// Takes what the carrier has to do.
    pub fn effects(&mut self) -> impl Iterator<Item = CoreEffect> {
        std::iter::from_fn(|| {
            let effect = self.channel.next_effect()?;
            if let CoreEffect::Send { datagram, .. } = &effect {
                self.counters.datagrams_out += 1;
                self.counters.bytes_out += datagram.len() as u64;
            }
            Some(effect)
        })
    }

    /// The members as of now, if they changed since the last call.
    pub fn take_view(&mut self) -> Option<MemberView> {
        self.channel.register.take_view()
    }

    /// The highest policy version heard of, if it is new since the last call.
    pub fn take_beacon(&mut self) -> Option<PolicyBeacon> {
        let is_new = std::mem::take(&mut self.is_beacon_new);
        self.channel.policy.beacon().filter(|_| is_new)
    }

    /// The highest policy version heard of.
    #[must_use]
    pub const fn beacon(&self) -> Option<PolicyBeacon> {
        self.channel.policy.beacon()
    }

    /// Sets the addresses of daemons to join.
    pub fn set_contacts(&mut self, source: ContactSource, addresses: &[SocketAddr]) {
        self.contacts.replace(source, addresses);
    }

    pub fn announce(&mut self, target: TargetAnnouncement, now: TimePoint) {
        self.channel.register.set_target(Some(target), now);
    }

    pub fn withdraw(&mut self, now: TimePoint) {
        self.channel.register.set_target(None, now);
    }

    /// Tells all that this process is leaving.
    pub fn leave(&mut self, now: TimePoint) {
        self.channel.register.set_leaving(now);
    }

    /// Whether the leaving has been handed on as often as any update is.
    #[must_use]
    pub fn is_leave_spread(&self) -> bool {
        let register = &self.channel.register;
        let is_alone = register.peers().live.is_empty();
        let is_sent = !register.queue().holds_own();
        register.own().state == MemberState::Leaving && (is_sent || is_alone)
    }

    pub fn policy_in_force(&mut self, version: u64, hash: u64) {
        let mesh = self.own().mesh;
        self.channel.policy.enforce(version, hash, mesh);
        self.channel.register.note_own_policy(version);
    }

    /// Takes a datagram from the network.
    pub fn receive<R: Rng>(&mut self, datagram: &[u8], now: TimePoint, rng: &mut R) {
        self.counters.datagrams_in += 1;
        self.counters.bytes_in += datagram.len() as u64;
        if let Err(reason) = self.process(datagram, now, rng) {
            self.counters.drop_datagram(reason);
        }
    }

    /// Does what has become due.
    pub fn tick<R: Rng>(&mut self, now: TimePoint, rng: &mut R) {
        self.note_pause(now);
        self.channel.register.refresh_peers();
        self.channel.outbox.renew_stranger_replies();
        self.probes.tick(&mut self.channel, now, rng);
        self.channel.register.expire_suspects(now);
        self.try_contacts(now, rng);
        spread_updates(&mut self.channel, rng);
        self.exchanges.tick(&mut self.channel, now, rng);
        if self.sweep.is_due(now, rng) {
            let register = &mut self.channel.register;
            register.drop_dead(now, TOMBSTONE_RETENTION);
        }
    }

    /// First message of an exchange that this process opens.
    #[must_use]
    pub fn open_exchange(&self) -> ExchangeOpen {
        table_exchange::open_exchange(self.register().table(), self.own().id)
    }

    /// Answer to an exchange that another process opened; `None` if its digest has another form.
    #[must_use]
    pub fn answer_exchange(&self, open: &ExchangeOpen) -> Option<ExchangeAnswer> {
        table_exchange::answer_exchange(self.register().table(), open)
    }

    /// What this process has newer than the answer says, and what it wants.
    #[must_use]
    pub fn resolve_exchange(&self, answer: &ExchangeAnswer) -> ExchangePush {
        table_exchange::resolve_exchange(self.register().table(), answer)
    }

    /// Takes the records of the opener and hands out those that it wants.
    pub fn accept_exchange(&mut self, push: ExchangePush, now: TimePoint) -> ExchangeReply {
        let reply = table_exchange::reply_exchange(self.register().table(), &push.wanted);
        let learned = self.channel.register.absorb(push.records, now);
        self.note_learned(learned);
        reply
    }

    /// Ends an exchange that this process opened.
    pub fn finish_exchange(&mut self, reply: ExchangeReply, now: TimePoint) {
        self.exchanges.set_behind(false);
        let learned = self.channel.register.absorb(reply.records, now);
        self.note_learned(learned);
    }

    fn process<R: Rng>(
        &mut self,
        datagram: &[u8],
        now: TimePoint,
        rng: &mut R,
    ) -> Result<(), DropReason> {
        let codec = self.channel.outbox.codec().clone();
        let (header, updates) = codec.read(datagram)?;
        self.check_recipient(&header)?;
        match header.body {
            PacketBody::Challenge { cookie } => {
                let introduction = PacketBody::Introduction { cookie };
                self.channel.send_stranger(header.sender, introduction);
                return Ok(());
            }
            PacketBody::Introduction { cookie } => {
                return self.admit(&header, cookie, updates, now);
            }
            PacketBody::Superseded { started_ms } => {
                self.channel.register.contest_start(started_ms, now);
                return Ok(());
            }
            _ => {}
        }
        let updates = updates.collect::<Result<Vec<_>, _>>()?;
        let key = self.check_sender(&header);
        if key == Err(DropReason::Unknown) {
            self.challenge(header.sender, now);
        }
        self.hear(key?, &header, now);
        for update in updates {
            self.apply(&update, now);
        }
        self.answer(&header, now, rng);
        Ok(())
    }

    /// A datagram must be meant for this process; a sender that means an earlier one is told.
    fn check_recipient(&mut self, header: &PacketHeader) -> Result<(), DropReason> {
        let own = self.own().id;
        if header.recipient != own.address || header.sender.address == own.address {
            return Err(DropReason::Recipient);
        }
        if header.recipient_started_ms == own.started_ms {
            return Ok(());
        }
        if header.recipient_started_ms != 0 {
            self.channel
                .send_stranger(header.sender, PacketBody::Gossip);
            return Err(DropReason::Recipient);
        }
        match header.body {
            PacketBody::Ping { .. } => Ok(()),
            _ => Err(DropReason::Recipient),
        }
    }

    /// The key of the sender, if it is a member and the datagram is new.
    fn check_sender(&mut self, header: &PacketHeader) -> Result<MemberKey, DropReason> {
        let sender = header.sender;
        let table = self.channel.register.table_mut();
        let key = table.find(sender.address).ok_or(DropReason::Unknown)?;
        let entry = table.get_mut(key).ok_or(DropReason::Unknown)?;
        let known = entry.record.id;
        if known.started_ms > sender.started_ms {
            let started_ms = known.started_ms;
            let superseded = PacketBody::Superseded { started_ms };
            self.channel.send_stranger(sender, superseded);
            return Err(DropReason::Superseded);
        }
        if known != sender {
            return Err(DropReason::Unknown);
        }
        let is_new = entry.window.accept(header.sequence);
        is_new.then_some(key).ok_or(DropReason::Replay)
    }

    /// Asks an unknown process to introduce itself.
    fn challenge(&mut self, process: MemberId, now: TimePoint) {
        let cookie = self.cookies.mint(process, now);
        let challenge = PacketBody::Challenge { cookie };
        self.channel.send_stranger(process, challenge);
    }

    /// Takes up a process that has introduced itself.
    fn admit(
        &mut self,
        header: &PacketHeader,
        cookie: u64,
        mut updates: UpdateReader<'_>,
        now: TimePoint,
    ) -> Result<(), DropReason> {
        let sender = header.sender;
        if !self.cookies.is_valid(cookie, sender, now) {
            return Err(DropReason::Cookie);
        }
        let update = updates.next().ok_or(DropReason::Format)??;
        let is_own = matches!(&update, MemberUpdate::Record(record) if record.id == sender);
        if !is_own {
            return Err(DropReason::Format);
        }
        self.apply(&update, now);
        let key = self.check_sender(header)?;
        self.hear(key, header, now);
        self.channel.send(sender, PacketBody::Gossip);
        self.exchanges.meet(&mut self.channel, sender);
        Ok(())
    }

    fn hear(&mut self, sender: MemberKey, header: &PacketHeader, now: TimePoint) {
        let register = &mut self.channel.register;
        register.note_heard(sender, header.policy_in_force, now);
        if let Some(beacon) = header.policy {
            self.is_beacon_new |= self.channel.policy.hear(beacon);
        }
    }

    /// Applies an update; a member that comes back means that this table may be behind.
    fn apply(&mut self, update: &MemberUpdate, now: TimePoint) {
        let address = update.id().address;
        let register = &mut self.channel.register;
        let state_of = |register: &MemberRegister| {
            let key = register.table().find(address)?;
            Some(register.table().get(key)?.record.state)
        };
        let was_dead = state_of(register) == Some(MemberState::Dead);
        register.apply(update, now);
        let is_dead = state_of(register) == Some(MemberState::Dead);
        if was_dead && !is_dead {
            self.exchanges.set_behind(true);
        }
    }

    fn answer<R: Rng>(&mut self, header: &PacketHeader, now: TimePoint, rng: &mut R) {
        let sender = header.sender;
        match header.body {
            PacketBody::Ping { probe } => {
                self.channel.send(sender, PacketBody::Ack { probe });
            }
            PacketBody::Ack { probe } => {
                self.probes.acknowledge(&mut self.channel, sender, probe);
            }
            PacketBody::PingRequest { probe, target } => {
                let channel = &mut self.channel;
                self.probes.relay(channel, sender, probe, target, now, rng);
            }
            PacketBody::Gossip
            | PacketBody::Challenge { .. }
            | PacketBody::Introduction { .. }
            | PacketBody::Superseded { .. } => {}
        }
    }

    /// After a pause nothing is known of the others: no probe counts, no suspect has had its time.
    fn note_pause(&mut self, now: TimePoint) {
        let gap = self
            .last_tick
            .map_or(Duration::ZERO, |last| now.since(last));
        if gap >= PAUSE_GAP {
            self.probes.forget();
            self.channel.register.extend_suspicions(gap);
            self.exchanges.set_behind(true);
        }
        self.last_tick = Some(now);
    }

    fn try_contacts<R: Rng>(&mut self, now: TimePoint, rng: &mut R) {
        let own = self.own().id.address;
        let table = self.channel.register.table();
        let is_alone = self.channel.register.peers().live.is_empty();
        let is_member = |address| {
            let entry = table.find(address).and_then(|key| table.get(key));
            address == own || entry.is_some_and(|entry| !entry.is_dead())
        };
        for address in self.contacts.due(now, rng, is_alone, is_member) {
            let probe = rng.random();
            self.channel.send_first(address, PacketBody::Ping { probe });
        }
    }

    /// Much that was new means that others are behind as well.
    fn note_learned(&mut self, learned: usize) {
        if learned > MAX_EXCHANGE_RUMOURS {
            self.exchanges.set_behind(true);
        }
    }
}
