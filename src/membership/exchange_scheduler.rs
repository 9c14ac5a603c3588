use {
    super::{
        CoreEffect, GossipContext, JitteredTimer, MemberId, peer_index::pick_one,
        update_dissemination::MAX_FULL_FANOUT_RECORDS,
    },
    crate::time::TimePoint,
    rand::{Rng, RngExt},
    std::time::Duration,
};

/// Mean time between two periodic exchanges that a member initiates.
pub const EXCHANGE_INTERVAL: Duration = Duration::from_secs(30);
/// Mean time between two exchanges while the table is likely to lack many records.
pub const CATCH_UP_INTERVAL: Duration = Duration::from_secs(1);
/// Mean time between two exchanges while many records are queued for dissemination.
pub const BACKLOG_INTERVAL: Duration = Duration::from_secs(4);

/// One in this many periodic exchanges selects a peer of any region.
const GLOBAL_EXCHANGE_DENOMINATOR: u32 = 4;

/// Decides when to run an anti-entropy exchange, and with which member.
#[derive(Clone, Debug)]
pub struct ExchangeScheduler {
    exchange_timer: JitteredTimer,
    backlog_timer: JitteredTimer,
    catch_up_timer: JitteredTimer,
    is_catching_up: bool,
}

impl ExchangeScheduler {
    pub fn new<R: Rng>(now: TimePoint, rng: &mut R) -> Self {
        Self {
            exchange_timer: JitteredTimer::start(EXCHANGE_INTERVAL, now, rng),
            backlog_timer: JitteredTimer::start(BACKLOG_INTERVAL, now, rng),
            catch_up_timer: JitteredTimer::start(CATCH_UP_INTERVAL, now, rng),
            is_catching_up: true,
        }
    }

    /// Sets whether the table is likely to lack many records.
    pub const fn set_catching_up(&mut self, is_catching_up: bool) {
        self.is_catching_up = is_catching_up;
    }

    pub fn tick<R: Rng>(&mut self, context: &mut GossipContext, now: TimePoint, rng: &mut R) {
        let has_backlog = context.registry.queue().record_count() > MAX_FULL_FANOUT_RECORDS;
        let is_due = self.exchange_timer.fire_if_due(now, rng);
        let has_backlog = self.backlog_timer.fire_if_due(now, rng) && has_backlog;
        let is_catching_up = self.catch_up_timer.fire_if_due(now, rng) && self.is_catching_up;
        if !is_due && !has_backlog && !is_catching_up {
            return;
        }
        let peers = context.registry.peers();
        let is_any_region = has_backlog
            || is_catching_up
            || peers.same_region.is_empty()
            || rng.random_ratio(1, GLOBAL_EXCHANGE_DENOMINATOR);
        let keys = if is_any_region {
            peers.reachable()
        } else {
            &peers.same_region
        };
        let table = context.registry.table();
        let entry = pick_one(keys, rng).and_then(|key| table.get(key));
        if let Some(peer) = entry.map(|entry| entry.record.id) {
            context.outbox.push(CoreEffect::StartExchange { peer });
        }
    }

    /// Starts an exchange with a newly admitted member while catching up.
    pub fn exchange_with_new_member(&self, context: &mut GossipContext, peer: MemberId) {
        if self.is_catching_up {
            context.outbox.push(CoreEffect::StartExchange { peer });
        }
    }
}
