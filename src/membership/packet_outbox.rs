use {
    super::{
        CoreEffect, MemberEntry, MemberId, MemberRegister, MemberState, MemberUpdate, PacketBody,
        PacketCodec, PacketHeader, PolicySpread,
        dissemination_queue::{UpdateAllowance, retransmit_limit},
        packet_codec::encode_update,
    },
    std::{collections::VecDeque, net::SocketAddr},
};

/// Datagrams to processes that are not known, at most, from one tick to the next.
pub const STRANGER_REPLIES_PER_TICK: u32 = 32;

/// Builds datagrams and keeps them until the carrier takes them.
#[derive(Clone, Debug)]
pub struct PacketOutbox {
    codec: PacketCodec,
    sequence: u64,
    effects: VecDeque<CoreEffect>,
    stranger_replies: u32,
}

impl PacketOutbox {
    #[must_use]
    pub const fn new(codec: PacketCodec) -> Self {
        Self {
            codec,
            sequence: 0,
            effects: VecDeque::new(),
            stranger_replies: STRANGER_REPLIES_PER_TICK,
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

    /// Allows datagrams to unknown processes anew.
    pub const fn renew_stranger_replies(&mut self) {
        self.stranger_replies = STRANGER_REPLIES_PER_TICK;
    }

    /// Sends to a member: first what it has to know of itself, then what waits in the queue.
    pub fn send(
        &mut self,
        register: &mut MemberRegister,
        policy: &mut PolicySpread,
        recipient: MemberId,
        body: PacketBody,
        allowance: UpdateAllowance,
    ) {
        let mut datagram = self.open(register, policy, recipient, body);
        let entry = register.table().find_process(recipient);
        if let Some(status) = entry.and_then(adverse_status) {
            datagram.extend_from_slice(&encode_update(&status));
        }
        let limit = retransmit_limit(register.peers().live_count());
        register.queue_mut().fill(&mut datagram, allowance, limit);
        policy.count_transmission();
        self.close(recipient.address, datagram);
    }

    /// Sends to an address whose process is not known; nothing but the header goes there.
    pub fn send_first(
        &mut self,
        register: &MemberRegister,
        policy: &PolicySpread,
        address: SocketAddr,
        body: PacketBody,
    ) {
        let recipient = MemberId {
            address,
            started_ms: 0,
        };
        let datagram = self.open(register, policy, recipient, body);
        self.close(address, datagram);
    }

    /// Answers a process that is not a member here; an introduction carries the own record.
    pub fn send_stranger(
        &mut self,
        register: &MemberRegister,
        policy: &PolicySpread,
        recipient: MemberId,
        body: PacketBody,
    ) {
        if self.stranger_replies == 0 {
            return;
        }
        self.stranger_replies -= 1;
        let mut datagram = self.open(register, policy, recipient, body);
        if matches!(body, PacketBody::Introduction { .. }) {
            let record = register.own().clone();
            let record = MemberUpdate::Record(Box::new(record));
            datagram.extend_from_slice(&encode_update(&record));
        }
        self.close(recipient.address, datagram);
    }

    fn open(
        &mut self,
        register: &MemberRegister,
        policy: &PolicySpread,
        recipient: MemberId,
        body: PacketBody,
    ) -> Vec<u8> {
        self.sequence += 1;
        let header = PacketHeader {
            sender: register.own().id,
            recipient: recipient.address,
            recipient_started_ms: recipient.started_ms,
            sequence: self.sequence,
            policy_in_force: policy.in_force(),
            policy: policy.beacon(),
            body,
        };
        self.codec.open(&header)
    }

    fn close(&mut self, to: SocketAddr, mut datagram: Vec<u8>) {
        self.codec.seal(&mut datagram);
        self.effects.push_back(CoreEffect::Send { to, datagram });
    }
}

/// What a member must hear of itself so that it can refute it.
fn adverse_status(entry: &MemberEntry) -> Option<MemberUpdate> {
    let state = entry.record.state;
    let is_adverse = matches!(state, MemberState::Suspect | MemberState::Dead);
    is_adverse.then(|| MemberUpdate::Status(entry.record.status()))
}
