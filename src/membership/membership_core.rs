use {
    super::{
        ContactList, ContactSource, CookieIssuer, CoreEffect, DropReason, ExchangeDiff,
        ExchangeDigest, ExchangePush, ExchangeReply, ExchangeScheduler, FailureDetector,
        GossipContext, GossipCounters, JitteredTimer, MemberId, MemberKey, MemberRecord,
        MemberRegistry, MemberState, MemberUpdate, MemberView, PacketBody, PacketCodec,
        PacketHeader, PolicyAdvertisement, TargetAnnouncement, UpdateReader,
        member_registry::MAX_EXCHANGE_UPDATES, table_exchange,
        update_dissemination::disseminate_updates,
    },
    crate::{
        auth::{KeyGeneration, SharedKey},
        time::TimePoint,
    },
    rand::{Rng, RngExt},
    std::{net::SocketAddr, time::Duration},
};

/// Time between two ticks of the core.
pub const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which a dead member stays in the table.
pub const TOMBSTONE_RETENTION: Duration = Duration::from_secs(3_600);
/// Minimum time between two ticks after which the process counts as paused.
pub const PAUSE_THRESHOLD: Duration = Duration::from_secs(2);

const TOMBSTONE_PURGE_INTERVAL: Duration = Duration::from_secs(10);

/// Membership protocol of one process, without a clock or sockets.
///
/// Its driver, such as the membership actor, passes received datagrams and ticks to the core and
/// carries out the effects that [`Self::take_effects`] returns.
#[derive(Clone, Debug)]
pub struct MembershipCore {
    context: GossipContext,
    failure_detector: FailureDetector,
    contacts: ContactList,
    cookie_issuer: CookieIssuer,
    exchange_scheduler: ExchangeScheduler,
    purge_timer: JitteredTimer,
    last_tick_at: Option<TimePoint>,
    has_new_advertisement: bool,
    counters: GossipCounters,
}

impl MembershipCore {
    pub fn new<R: Rng>(
        own_record: MemberRecord,
        key: &SharedKey,
        now: TimePoint,
        rng: &mut R,
    ) -> Self {
        let registry = MemberRegistry::new(own_record, now);
        Self {
            context: GossipContext::new(registry, PacketCodec::new(key.clone())),
            failure_detector: FailureDetector::new(now, rng),
            contacts: ContactList::default(),
            cookie_issuer: CookieIssuer::new(key.clone(), rng),
            exchange_scheduler: ExchangeScheduler::new(now, rng),
            purge_timer: JitteredTimer::start(TOMBSTONE_PURGE_INTERVAL, now, rng),
            last_tick_at: None,
            has_new_advertisement: false,
            counters: GossipCounters::default(),
        }
    }

    #[must_use]
    pub const fn registry(&self) -> &MemberRegistry {
        &self.context.registry
    }

    /// The record of this process.
    #[must_use]
    pub const fn own_record(&self) -> &MemberRecord {
        self.context.registry.own_record()
    }

    /// The key to begin an exchange with a member with.
    pub(crate) fn key_of(&self, peer: MemberId) -> KeyGeneration {
        let known = self.context.outbox.key_of(peer);
        known.unwrap_or(KeyGeneration::Current)
    }

    /// Counts since the start, without those of exchanges and send errors, which the driver counts.
    #[must_use]
    pub const fn counters(&self) -> GossipCounters {
        let mut counters = self.counters;
        counters.probes = self.failure_detector.probes_sent();
        counters.probe_failures = self.failure_detector.probes_failed();
        counters.suspicions = self.context.registry.suspicions();
        counters.refutations = self.context.registry.refutations();
        counters
    }

    /// Removes and returns the effects for the driver to carry out.
    pub fn take_effects(&mut self) -> impl Iterator<Item = CoreEffect> {
        std::iter::from_fn(|| {
            let effect = self.context.next_effect()?;
            if let CoreEffect::Send { datagram, .. } = &effect {
                self.counters.datagrams_out += 1;
                self.counters.bytes_out += datagram.len() as u64;
            }
            Some(effect)
        })
    }

    /// Returns the current members if they changed since the last call.
    pub fn take_view(&mut self) -> Option<MemberView> {
        self.context.registry.take_view()
    }

    /// Returns the highest known policy version if another member raised it since the last call.
    pub fn take_new_advertisement(&mut self) -> Option<PolicyAdvertisement> {
        let is_new = std::mem::take(&mut self.has_new_advertisement);
        self.context.policy.advertisement().filter(|_| is_new)
    }

    /// The highest known policy version.
    #[must_use]
    pub const fn policy_advertisement(&self) -> Option<PolicyAdvertisement> {
        self.context.policy.advertisement()
    }

    /// Replaces the addresses of daemons to join that came from `source`.
    pub fn set_contacts(&mut self, source: ContactSource, addresses: &[SocketAddr]) {
        self.contacts.replace(source, addresses);
    }

    pub fn announce_target(&mut self, target: TargetAnnouncement, now: TimePoint) {
        self.context.registry.set_target(Some(target), now);
    }

    pub fn withdraw_target(&mut self, now: TimePoint) {
        self.context.registry.set_target(None, now);
    }

    /// Disseminates that this process is leaving.
    pub fn leave(&mut self, now: TimePoint) {
        self.context.registry.set_leaving(now);
    }

    /// Whether the leaving state has reached its transmission limit, or no other member is left.
    #[must_use]
    pub fn is_leave_disseminated(&self) -> bool {
        let registry = &self.context.registry;
        let is_alone = registry.peers().live.is_empty();
        let is_sent = !registry.queue().has_own_update();
        registry.own_record().state == MemberState::Leaving && (is_sent || is_alone)
    }

    pub fn set_policy_in_force(&mut self, version: u64, hash: u64) {
        let mesh = self.own_record().mesh;
        self.context.policy.set_in_force(version, hash, mesh);
        self.context.registry.set_own_policy_version(version);
    }

    /// Processes a datagram from the network.
    pub fn receive<R: Rng>(&mut self, datagram: &[u8], now: TimePoint, rng: &mut R) {
        self.counters.datagrams_in += 1;
        self.counters.bytes_in += datagram.len() as u64;
        if let Err(reason) = self.process_datagram(datagram, now, rng) {
            self.counters.count_drop(reason);
        }
    }

    /// Runs the periodic work that is due.
    pub fn tick<R: Rng>(&mut self, now: TimePoint, rng: &mut R) {
        self.handle_pause(now);
        self.context.registry.refresh_peers();
        self.context.outbox.reset_non_member_quota();
        self.failure_detector.tick(&mut self.context, now, rng);
        self.context.registry.expire_suspects(now);
        self.ping_contacts(now, rng);
        disseminate_updates(&mut self.context, rng);
        self.exchange_scheduler.tick(&mut self.context, now, rng);
        if self.purge_timer.fire_if_due(now, rng) {
            let registry = &mut self.context.registry;
            registry.purge_dead(now, TOMBSTONE_RETENTION);
        }
    }

    /// First message of an exchange that this process initiates.
    #[must_use]
    pub fn exchange_digest(&self) -> ExchangeDigest {
        table_exchange::build_digest(self.registry().table(), self.own_record().id)
    }

    /// Responds to the digest of an initiator; `None` if it has a different number of buckets.
    #[must_use]
    pub fn compare_digest(&self, digest: &ExchangeDigest) -> Option<ExchangeDiff> {
        table_exchange::compare_digest(self.registry().table(), digest)
    }

    /// Third message: records that are newer here than at the responder, and requests for those
    /// that are newer at the responder.
    #[must_use]
    pub fn build_push(&self, diff: &ExchangeDiff) -> ExchangePush {
        table_exchange::build_push(self.registry().table(), diff)
    }

    /// Merges the records of the initiator and returns those that it requests.
    pub fn apply_push(&mut self, push: ExchangePush, now: TimePoint) -> ExchangeReply {
        let reply = table_exchange::build_reply(self.registry().table(), &push.wanted);
        let new_records = self.context.registry.merge_records(push.records, now);
        self.extend_catch_up(new_records);
        reply
    }

    /// Merges the reply of the responder and stops catching up, unless many records were new.
    pub fn apply_reply(&mut self, reply: ExchangeReply, now: TimePoint) {
        self.exchange_scheduler.set_catching_up(false);
        let new_records = self.context.registry.merge_records(reply.records, now);
        self.extend_catch_up(new_records);
    }

    fn process_datagram<R: Rng>(
        &mut self,
        datagram: &[u8],
        now: TimePoint,
        rng: &mut R,
    ) -> Result<(), DropReason> {
        let codec = self.context.outbox.codec().clone();
        let (header, updates, generation) = codec.decode(datagram)?;
        self.context.outbox.record_key(header.sender, generation);
        self.check_recipient(&header)?;
        match header.body {
            PacketBody::Challenge { cookie } => {
                let introduction = PacketBody::Introduction { cookie };
                self.context.send_to_non_member(header.sender, introduction);
                return Ok(());
            }
            PacketBody::Introduction { cookie } => {
                return self.admit_member(&header, cookie, updates, now);
            }
            PacketBody::Superseded { started_ms } => {
                self.context.registry.refute_start_time(started_ms, now);
                return Ok(());
            }
            _ => {}
        }
        let updates = updates.collect::<Result<Vec<_>, _>>()?;
        let key = self.check_sender(&header);
        if key == Err(DropReason::Unknown) {
            self.send_challenge(header.sender, now);
        }
        self.update_from_header(key?, &header, now);
        for update in updates {
            self.apply_update(&update, now);
        }
        self.respond(&header, now, rng);
        Ok(())
    }

    /// Rejects a datagram for another recipient. A sender that addresses another process on this
    /// address is sent a datagram with the current identity.
    fn check_recipient(&mut self, header: &PacketHeader) -> Result<(), DropReason> {
        let own = self.own_record().id;
        if header.recipient != own.address || header.sender.address == own.address {
            return Err(DropReason::Recipient);
        }
        if header.recipient_started_ms == own.started_ms {
            return Ok(());
        }
        if header.recipient_started_ms != 0 {
            self.context
                .send_to_non_member(header.sender, PacketBody::Gossip);
            return Err(DropReason::Recipient);
        }
        match header.body {
            PacketBody::Ping { .. } => Ok(()),
            _ => Err(DropReason::Recipient),
        }
    }

    /// Returns the key of the sender if it is a member and the datagram is not a replay.
    fn check_sender(&mut self, header: &PacketHeader) -> Result<MemberKey, DropReason> {
        let sender = header.sender;
        let table = self.context.registry.table_mut();
        let key = table.find(sender.address).ok_or(DropReason::Unknown)?;
        let entry = table.get_mut(key).ok_or(DropReason::Unknown)?;
        let known = entry.record.id;
        if known.started_ms > sender.started_ms {
            let started_ms = known.started_ms;
            let superseded = PacketBody::Superseded { started_ms };
            self.context.send_to_non_member(sender, superseded);
            return Err(DropReason::Superseded);
        }
        if known != sender {
            return Err(DropReason::Unknown);
        }
        let is_new = entry.replay_window.accept(header.sequence);
        is_new.then_some(key).ok_or(DropReason::Replay)
    }

    /// Sends a cookie challenge to an unknown process.
    fn send_challenge(&mut self, process: MemberId, now: TimePoint) {
        let cookie = self.cookie_issuer.issue(process, now);
        let challenge = PacketBody::Challenge { cookie };
        self.context.send_to_non_member(process, challenge);
    }

    /// Adds a process whose introduction contains a valid cookie and the record of the process.
    fn admit_member(
        &mut self,
        header: &PacketHeader,
        cookie: u64,
        mut updates: UpdateReader<'_>,
        now: TimePoint,
    ) -> Result<(), DropReason> {
        let sender = header.sender;
        if !self.cookie_issuer.is_valid(cookie, sender, now) {
            return Err(DropReason::Cookie);
        }
        let update = updates.next().ok_or(DropReason::Format)??;
        let is_own = matches!(&update, MemberUpdate::Record(record) if record.id == sender);
        if !is_own {
            return Err(DropReason::Format);
        }
        self.apply_update(&update, now);
        let key = self.check_sender(header)?;
        self.update_from_header(key, header, now);
        self.context.send(sender, PacketBody::Gossip);
        self.exchange_scheduler
            .exchange_with_new_member(&mut self.context, sender);
        Ok(())
    }

    fn update_from_header(&mut self, sender: MemberKey, header: &PacketHeader, now: TimePoint) {
        let registry = &mut self.context.registry;
        registry.record_datagram(sender, header.policy_in_force, now);
        if let Some(advertisement) = header.policy {
            self.has_new_advertisement |= self.context.policy.receive(advertisement);
        }
    }

    /// Applies an update. If it revives a dead member, this process starts catching up, as it may
    /// have missed other changes too.
    fn apply_update(&mut self, update: &MemberUpdate, now: TimePoint) {
        let address = update.id().address;
        let registry = &mut self.context.registry;
        let state_of = |registry: &MemberRegistry| {
            let key = registry.table().find(address)?;
            Some(registry.table().get(key)?.record.state)
        };
        let was_dead = state_of(registry) == Some(MemberState::Dead);
        registry.apply_update(update, now);
        let is_dead = state_of(registry) == Some(MemberState::Dead);
        if was_dead && !is_dead {
            self.exchange_scheduler.set_catching_up(true);
        }
    }

    fn respond<R: Rng>(&mut self, header: &PacketHeader, now: TimePoint, rng: &mut R) {
        let sender = header.sender;
        match header.body {
            PacketBody::Ping { probe } => {
                self.context.send(sender, PacketBody::Ack { probe });
            }
            PacketBody::Ack { probe } => {
                self.failure_detector
                    .acknowledge(&mut self.context, sender, probe);
            }
            PacketBody::PingRequest { probe, target } => {
                let context = &mut self.context;
                self.failure_detector
                    .relay_ping(context, sender, probe, target, now, rng);
            }
            PacketBody::Gossip
            | PacketBody::Challenge { .. }
            | PacketBody::Introduction { .. }
            | PacketBody::Superseded { .. } => {}
        }
    }

    /// After a pause of this process, discards pending probes and extends suspicions, as acks and
    /// refutations could not be received.
    fn handle_pause(&mut self, now: TimePoint) {
        let gap = self
            .last_tick_at
            .map_or(Duration::ZERO, |last| now.since(last));
        if gap >= PAUSE_THRESHOLD {
            self.failure_detector.clear_probes();
            self.context.registry.extend_suspicions(gap);
            self.exchange_scheduler.set_catching_up(true);
        }
        self.last_tick_at = Some(now);
    }

    fn ping_contacts<R: Rng>(&mut self, now: TimePoint, rng: &mut R) {
        let own = self.own_record().id.address;
        let table = self.context.registry.table();
        let is_alone = self.context.registry.peers().live.is_empty();
        let is_member = |address| {
            let entry = table.find(address).and_then(|key| table.get(key));
            address == own || entry.is_some_and(|entry| !entry.is_dead())
        };
        for address in self.contacts.pick_due(now, rng, is_alone, is_member) {
            let probe = rng.random();
            self.context
                .send_to_address(address, PacketBody::Ping { probe });
        }
    }

    /// Continues catching up after an exchange with many new records: they are not disseminated as
    /// updates, so other members may lack them.
    fn extend_catch_up(&mut self, new_records: usize) {
        if new_records > MAX_EXCHANGE_UPDATES {
            self.exchange_scheduler.set_catching_up(true);
        }
    }
}
