use {
    super::{
        GossipContext, MemberKey, PacketBody,
        dissemination_queue::{UpdateBudget, retransmit_limit},
        peer_index::pick_some,
    },
    rand::{Rng, RngExt},
};

/// Members of the same region that are sent updates in one tick.
pub const REGION_FANOUT: usize = 2;
/// Members of any region that are sent updates in one tick.
pub const GLOBAL_FANOUT: usize = 1;
/// Maximum number of queued records at which a tick uses the full fan-out; more result from a mass
/// event.
pub const MAX_FULL_FANOUT_RECORDS: usize = 32;
/// Maximum bytes of updates that are sent in one tick.
pub const UPDATE_BYTES_PER_TICK: usize = 600;
/// Maximum bytes of statuses that are sent in one tick.
pub const STATUS_BYTES_PER_TICK: usize = 260;

/// Sends queued updates and the policy advertisement until they reach their transmission limits.
///
/// A few changes are sent with the full fan-out. After a mass event, such as the loss of a data
/// centre, each tick sends a larger datagram to one member, which bounds the bytes per second.
pub fn disseminate_updates<R: Rng>(context: &mut GossipContext, rng: &mut R) {
    let limit = retransmit_limit(context.registry.peers().live_count());
    let queue = context.registry.queue();
    let is_policy_pending = context.policy.is_pending(limit);
    if queue.is_empty() && !is_policy_pending {
        return;
    }
    let has_few_records = (1..=MAX_FULL_FANOUT_RECORDS).contains(&queue.record_count());
    let is_full_fanout = is_policy_pending || has_few_records || queue.has_own_update();
    let keys = if is_full_fanout {
        pick_fanout(context, rng)
    } else {
        pick_single(context, rng)
    };
    let budget = UpdateBudget {
        bytes: UPDATE_BYTES_PER_TICK / keys.len().max(1),
        status_bytes: STATUS_BYTES_PER_TICK / keys.len().max(1),
    };
    for key in keys {
        if let Some(entry) = context.registry.table().get(key) {
            let recipient = entry.record.id;
            context.send_with_budget(recipient, PacketBody::Gossip, budget);
        }
    }
}

fn pick_fanout<R: Rng>(context: &GossipContext, rng: &mut R) -> Vec<MemberKey> {
    let peers = context.registry.peers();
    let mut keys = pick_some(&peers.same_region, REGION_FANOUT, rng, |_| true);
    let remaining = REGION_FANOUT + GLOBAL_FANOUT - keys.len();
    let others = pick_some(peers.reachable(), remaining, rng, |key| {
        !keys.contains(&key)
    });
    keys.extend(others);
    keys
}

fn pick_single<R: Rng>(context: &GossipContext, rng: &mut R) -> Vec<MemberKey> {
    const FANOUT: usize = REGION_FANOUT + GLOBAL_FANOUT;
    let peers = context.registry.peers();
    let is_any_region = rng.random_range(0..FANOUT) < GLOBAL_FANOUT;
    let keys = if is_any_region || peers.same_region.is_empty() {
        peers.reachable()
    } else {
        &peers.same_region
    };
    pick_some(keys, 1, rng, |_| true)
}
