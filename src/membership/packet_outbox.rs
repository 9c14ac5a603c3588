use {
    super::{
        CoreEffect, MemberEntry, MemberId, MemberRegistry, MemberState, MemberUpdate, PacketBody,
        PacketCodec, PacketHeader, PolicyDissemination,
        dissemination_queue::{UpdateBudget, retransmit_limit},
        packet_codec::encode_update,
    },
    std::{collections::VecDeque, net::SocketAddr},
};

/// Maximum number of datagrams to non-members between two ticks.
pub const NON_MEMBER_DATAGRAMS_PER_TICK: u32 = 32;

/// Builds datagrams, and queues them and other effects for the driver.
#[derive(Clone, Debug)]
pub struct PacketOutbox {
    codec: PacketCodec,
    sequence: u64,
    effects: VecDeque<CoreEffect>,
    non_member_quota: u32,
}

impl PacketOutbox {
    #[must_use]
    pub const fn new(codec: PacketCodec) -> Self {
        Self {
            codec,
            sequence: 0,
            effects: VecDeque::new(),
            non_member_quota: NON_MEMBER_DATAGRAMS_PER_TICK,
        }
    }

    #[must_use]
    pub const fn codec(&self) -> &PacketCodec {
        &self.codec
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
        self.finish_datagram(recipient.address, datagram);
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
        self.finish_datagram(address, datagram);
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
        self.finish_datagram(recipient.address, datagram);
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

    fn finish_datagram(&mut self, to: SocketAddr, mut datagram: Vec<u8>) {
        self.codec.seal(&mut datagram);
        self.effects.push_back(CoreEffect::Send { to, datagram });
    }
}

/// Status that a member must receive about itself so that it can refute it.
fn status_to_refute(entry: &MemberEntry) -> Option<MemberUpdate> {
    let state = entry.record.state;
    let is_refutable = matches!(state, MemberState::Suspect | MemberState::Dead);
    is_refutable.then(|| MemberUpdate::Status(entry.record.status()))
}
