use {
    super::{
        CoreEffect, GossipChannel, MemberId, PeriodicStep, gossip_system::MAX_URGENT_RECORDS,
        peer_index::pick_one,
    },
    crate::time::TimePoint,
    rand::{Rng, RngExt},
    std::time::Duration,
};

/// Time between two exchanges that a member opens.
pub const EXCHANGE_PERIOD: Duration = Duration::from_secs(30);
/// Time between two exchanges while the table is known to be behind.
pub const CATCH_UP_PERIOD: Duration = Duration::from_secs(1);

/// Time between two exchanges while many records wait to be handed on.
pub const BUSY_PERIOD: Duration = Duration::from_secs(4);

/// One in so many periodic exchanges goes to any region.
const GLOBAL_EXCHANGE_SHARE: u32 = 4;

/// Decides when to compare tables, and with whom.
#[derive(Clone, Debug)]
pub struct ExchangeSystem {
    exchange: PeriodicStep,
    busy: PeriodicStep,
    catch_up: PeriodicStep,
    is_behind: bool,
}

impl ExchangeSystem {
    pub fn new<R: Rng>(now: TimePoint, rng: &mut R) -> Self {
        Self {
            exchange: PeriodicStep::start(EXCHANGE_PERIOD, now, rng),
            busy: PeriodicStep::start(BUSY_PERIOD, now, rng),
            catch_up: PeriodicStep::start(CATCH_UP_PERIOD, now, rng),
            is_behind: true,
        }
    }

    /// Notes whether much is likely to be missing from the table.
    pub const fn set_behind(&mut self, is_behind: bool) {
        self.is_behind = is_behind;
    }

    pub fn tick<R: Rng>(&mut self, channel: &mut GossipChannel, now: TimePoint, rng: &mut R) {
        let is_busy = channel.register.queue().records() > MAX_URGENT_RECORDS;
        let is_due = self.exchange.is_due(now, rng);
        let is_busy = self.busy.is_due(now, rng) && is_busy;
        let is_behind = self.catch_up.is_due(now, rng) && self.is_behind;
        if !is_due && !is_busy && !is_behind {
            return;
        }
        let peers = channel.register.peers();
        let is_global = is_busy
            || is_behind
            || peers.region.is_empty()
            || rng.random_ratio(1, GLOBAL_EXCHANGE_SHARE);
        let keys = if is_global {
            peers.reachable()
        } else {
            &peers.region
        };
        let table = channel.register.table();
        let entry = pick_one(keys, rng).and_then(|key| table.get(key));
        if let Some(peer) = entry.map(|entry| entry.record.id) {
            channel.outbox.push(CoreEffect::Exchange { peer });
        }
    }

    /// Compares with a member that was just admitted, if the table is behind.
    pub fn meet(&self, channel: &mut GossipChannel, peer: MemberId) {
        if self.is_behind {
            channel.outbox.push(CoreEffect::Exchange { peer });
        }
    }
}
