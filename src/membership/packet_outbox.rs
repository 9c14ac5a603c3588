use {
    super::{
        CoreEffect, MAX_MEMBERS, MemberEntry, MemberId, MemberRegistry, MemberState, MemberUpdate,
        PacketBody, PacketCodec, PacketHeader, PolicyDissemination,
        dissemination_queue::{UpdateBudget, retransmit_limit},
        packet_codec::encode_update,
    },
    crate::auth::KeyGeneration,
    std::{
        collections::{HashMap, VecDeque},
        net::SocketAddr,
        slice,
    },
};

/// Maximum number of datagrams to non-members between two ticks.
pub const NON_MEMBER_DATAGRAMS_PER_TICK: u32 = 32;

/// Builds datagrams, and queues them and other effects for the driver.
#[derive(Clone, Debug)]
pub struct PacketOutbox {
    codec: PacketCodec,
    sequence: u64,
    effects: VecDeque<CoreEffect>,
    /// Keys of the processes that have sent datagrams, while not all have the same.
    keys: HashMap<MemberId, KeyGeneration>,
    non_member_quota: u32,
}

impl PacketOutbox {
    #[must_use]
    pub fn new(codec: PacketCodec) -> Self {
        Self {
            codec,
            sequence: 0,
            effects: VecDeque::new(),
            keys: HashMap::new(),
            non_member_quota: NON_MEMBER_DATAGRAMS_PER_TICK,
        }
    }

    #[must_use]
    pub const fn codec(&self) -> &PacketCodec {
        &self.codec
    }

    /// Records the key of a process; one that has both sends either until it knows that of this one.
    pub fn record_key(&mut self, sender: MemberId, generation: KeyGeneration) {
        if self.codec.generations().len() < 2 {
            return;
        }
        if self.keys.len() >= MAX_MEMBERS && !self.keys.contains_key(&sender) {
            self.keys.clear();
        }
        let known = self.keys.entry(sender).or_insert(generation);
        if generation == KeyGeneration::Current {
            *known = generation;
        }
    }

    #[must_use]
    pub fn key_of(&self, process: MemberId) -> Option<KeyGeneration> {
        self.keys.get(&process).copied()
    }

    pub fn next_effect(&mut self) -> Option<CoreEffect> {
        self.effects.pop_front()
    }

    pub fn push(&mut self, effect: CoreEffect) {
        self.effects.push_back(effect);
    }

    /// Restores the quota of datagrams to non-members.
    pub const fn reset_non_member_quota(&mut self) {
        self.non_member_quota = NON_MEMBER_DATAGRAMS_PER_TICK;
    }

    /// Sends a datagram to a member, with queued updates. If the member is suspect or dead, the
    /// datagram includes its status so that it can refute it.
    pub fn send(
        &mut self,
        registry: &mut MemberRegistry,
        policy: &mut PolicyDissemination,
        recipient: MemberId,
        body: PacketBody,
        budget: UpdateBudget,
    ) {
        let mut datagram = self.start_datagram(registry, policy, recipient, body);
        let entry = registry.table().find_process(recipient);
        if let Some(status) = entry.and_then(status_to_refute) {
            datagram.extend_from_slice(&encode_update(&status));
        }
        let limit = retransmit_limit(registry.peers().live_count());
        registry
            .queue_mut()
            .fill_datagram(&mut datagram, budget, limit);
        policy.count_transmission();
        self.finish_datagram(recipient, &datagram);
    }

    /// Sends a datagram without updates to an address whose process is unknown.
    pub fn send_to_address(
        &mut self,
        registry: &MemberRegistry,
        policy: &PolicyDissemination,
        address: SocketAddr,
        body: PacketBody,
    ) {
        let recipient = MemberId {
            address,
            started_ms: 0,
        };
        let datagram = self.start_datagram(registry, policy, recipient, body);
        self.finish_datagram(recipient, &datagram);
    }

    /// Sends a datagram to a process that is not a member, within the quota; an introduction
    /// includes the record of this process.
    pub fn send_to_non_member(
        &mut self,
        registry: &MemberRegistry,
        policy: &PolicyDissemination,
        recipient: MemberId,
        body: PacketBody,
    ) {
        if self.non_member_quota == 0 {
            return;
        }
        self.non_member_quota -= 1;
        let mut datagram = self.start_datagram(registry, policy, recipient, body);
        if matches!(body, PacketBody::Introduction { .. }) {
            let record = registry.own_record().clone();
            let record = MemberUpdate::Record(Box::new(record));
            datagram.extend_from_slice(&encode_update(&record));
        }
        self.finish_datagram(recipient, &datagram);
    }

    fn start_datagram(
        &mut self,
        registry: &MemberRegistry,
        policy: &PolicyDissemination,
        recipient: MemberId,
        body: PacketBody,
    ) -> Vec<u8> {
        self.sequence += 1;
        let header = PacketHeader {
            sender: registry.own_record().id,
            recipient: recipient.address,
            recipient_started_ms: recipient.started_ms,
            sequence: self.sequence,
            policy_in_force: policy.in_force(),
            policy: policy.advertisement(),
            body,
        };
        self.codec.encode_header(&header)
    }

    /// Seals a datagram with the key of its recipient, or with each that it may have.
    fn finish_datagram(&mut self, recipient: MemberId, datagram: &[u8]) {
        let known = self.key_of(recipient);
        let known = known.as_ref().map(slice::from_ref);
        for &generation in known.unwrap_or(self.codec.generations()) {
            let mut datagram = datagram.to_owned();
            self.codec.seal_with(generation, &mut datagram);
            let to = recipient.address;
            self.effects.push_back(CoreEffect::Send { to, datagram });
        }
    }
}

/// Status that a member must receive about itself so that it can refute it.
fn status_to_refute(entry: &MemberEntry) -> Option<MemberUpdate> {
    let state = entry.record.state;
    let is_refutable = matches!(state, MemberState::Suspect | MemberState::Dead);
    is_refutable.then(|| MemberUpdate::Status(entry.record.status()))
}
