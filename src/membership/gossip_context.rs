use {
    super::{
        CoreEffect, MemberId, MemberRegistry, PacketBody, PacketCodec, PacketOutbox,
        PolicyDissemination, dissemination_queue::UpdateBudget,
    },
    std::net::SocketAddr,
};

/// Limits of the updates that are piggybacked on a datagram of the probe protocol.
const PIGGYBACK_BUDGET: UpdateBudget = UpdateBudget {
    bytes: 200,
    status_bytes: 100,
};

/// State that is shared by the failure detector, the dissemination and the exchanges.
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

    /// Sends a datagram to a member, with a few piggybacked updates.
    pub fn send(&mut self, recipient: MemberId, body: PacketBody) {
        self.send_with_budget(recipient, body, PIGGYBACK_BUDGET);
    }

    /// Sends a datagram to a member, with as many updates as `budget` allows.
    pub fn send_with_budget(
        &mut self,
        recipient: MemberId,
        body: PacketBody,
        budget: UpdateBudget,
    ) {
        let (registry, policy) = (&mut self.registry, &mut self.policy);
        self.outbox.send(registry, policy, recipient, body, budget);
    }

    /// Sends a datagram to an address whose process is unknown.
    pub fn send_to_address(&mut self, address: SocketAddr, body: PacketBody) {
        self.outbox
            .send_to_address(&self.registry, &self.policy, address, body);
    }

    /// Sends a datagram to a process that is not a member, unless the quota since the last tick is
    /// used up.
    pub fn send_to_non_member(&mut self, recipient: MemberId, body: PacketBody) {
        self.outbox
            .send_to_non_member(&self.registry, &self.policy, recipient, body);
    }

    /// The next effect: member changes first, then those of the outbox.
    pub fn next_effect(&mut self) -> Option<CoreEffect> {
        let change = self.registry.next_change();
        change.or_else(|| self.outbox.next_effect())
    }
}
