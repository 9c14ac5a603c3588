use {
    super::{
        CoreEffect, MemberId, MemberRegister, PacketBody, PacketCodec, PacketOutbox, PolicySpread,
        dissemination_queue::UpdateAllowance,
    },
    std::net::SocketAddr,
};

/// Updates that a probe or its answer carries.
const PIGGYBACK: UpdateAllowance = UpdateAllowance {
    bytes: 200,
    status_bytes: 100,
};

/// What a member knows, and its way out to the others.
#[derive(Clone, Debug)]
pub struct GossipChannel {
    pub register: MemberRegister,
    pub policy: PolicySpread,
    pub outbox: PacketOutbox,
}

impl GossipChannel {
    #[must_use]
    pub fn new(register: MemberRegister, codec: PacketCodec) -> Self {
        Self {
            register,
            policy: PolicySpread::default(),
            outbox: PacketOutbox::new(codec),
        }
    }

    /// Sends to a member, with a little of what there is to hand on.
    pub fn send(&mut self, recipient: MemberId, body: PacketBody) {
        self.send_updates(recipient, body, PIGGYBACK);
    }

    /// Sends to a member, with as much to hand on as is allowed.
    pub fn send_updates(
        &mut self,
        recipient: MemberId,
        body: PacketBody,
        allowance: UpdateAllowance,
    ) {
        let (register, policy) = (&mut self.register, &mut self.policy);
        self.outbox
            .send(register, policy, recipient, body, allowance);
    }

    /// Sends to an address whose process is not known.
    pub fn send_first(&mut self, address: SocketAddr, body: PacketBody) {
        self.outbox
            .send_first(&self.register, &self.policy, address, body);
    }

    /// Answers a process that is not a member here, unless there were too many since the last
    /// tick.
    pub fn send_stranger(&mut self, recipient: MemberId, body: PacketBody) {
        self.outbox
            .send_stranger(&self.register, &self.policy, recipient, body);
    }

    /// The next thing that the carrier has to do.
    pub fn next_effect(&mut self) -> Option<CoreEffect> {
        let change = self.register.next_change();
        change.or_else(|| self.outbox.next_effect())
    }
}
