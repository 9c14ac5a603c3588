use {
    super::{
        CoreEffect, MemberId, MemberRegister, PacketBody, PacketCodec, PacketOutbox, PolicySpread,
    },
    std::net::SocketAddr,
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

    /// Sends to a member, with what there is to hand on.
    pub fn send(&mut self, recipient: MemberId, body: PacketBody) {
        self.outbox
            .send(&mut self.register, &mut self.policy, recipient, body);
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
