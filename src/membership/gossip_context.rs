use {
    super::{
        CoreEffect, MemberId, MemberRegistry, PacketBody, PacketCodec, PacketOutbox,
        PolicyDissemination, dissemination_queue::UpdateBudget,
    },
    std::net::SocketAddr,
};

/// Updates that a probe or its answer carries.
const PIGGYBACK_BUDGET: UpdateBudget = UpdateBudget {
    bytes: 200,
    status_bytes: 100,
};

/// What a member knows, and its way out to the others.
#[derive(Clone, Debug)]
pub struct GossipContext {
    pub registry: MemberRegistry,
    pub policy: PolicyDissemination,
    pub outbox: PacketOutbox,
}

impl GossipContext {
    #[must_use]
    pub fn new(registry: MemberRegistry, codec: PacketCodec) -> Self {
        Self {
            registry,
            policy: PolicyDissemination::default(),
            outbox: PacketOutbox::new(codec),
        }
    }

    /// Sends to a member, with a little of what there is to hand on.
    pub fn send(&mut self, recipient: MemberId, body: PacketBody) {
        self.send_with_budget(recipient, body, PIGGYBACK_BUDGET);
    }

    /// Sends to a member, with as much to hand on as is allowed.
    pub fn send_with_budget(
        &mut self,
        recipient: MemberId,
        body: PacketBody,
        budget: UpdateBudget,
    ) {
        let (registry, policy) = (&mut self.registry, &mut self.policy);
        self.outbox.send(registry, policy, recipient, body, budget);
    }

    /// Sends to an address whose process is not known.
    pub fn send_to_address(&mut self, address: SocketAddr, body: PacketBody) {
        self.outbox
            .send_to_address(&self.registry, &self.policy, address, body);
    }

    /// Answers a process that is not a member here, unless there were too many since the last
    /// tick.
    pub fn send_to_non_member(&mut self, recipient: MemberId, body: PacketBody) {
        self.outbox
            .send_to_non_member(&self.registry, &self.policy, recipient, body);
    }

    /// The next thing that the carrier has to do.
    pub fn next_effect(&mut self) -> Option<CoreEffect> {
        let change = self.registry.next_change();
        change.or_else(|| self.outbox.next_effect())
    }
}
