use {
    super::{
        GossipChannel, MemberKey, PacketBody,
        dissemination_queue::{UpdateAllowance, retransmit_limit},
        peer_index::pick_some,
    },
    rand::{Rng, RngExt},
};

/// Members of the own region that a tick sends updates to.
pub const REGION_FANOUT: usize = 2;
/// Members of any region that a tick sends updates to.
pub const GLOBAL_FANOUT: usize = 1;
/// Records that wait at most for a tick to send to all of its members; more are a mass event.
pub const MAX_URGENT_RECORDS: usize = 32;
/// Bytes of updates that a tick sends.
pub const UPDATE_BYTES_PER_TICK: usize = 600;
/// Bytes of statuses that a tick sends.
pub const STATUS_BYTES_PER_TICK: usize = 260;

/// Hands on updates and the policy beacon while any are left.
///
/// A few changes go out at full fan-out. After a mass event, as when a data centre is lost, one
/// member a tick is sent more at once, so that the bytes a second stay bounded.
pub fn spread_updates<R: Rng>(channel: &mut GossipChannel, rng: &mut R) {
    let limit = retransmit_limit(channel.register.peers().live_count());
    let queue = channel.register.queue();
    let is_policy_due = channel.policy.is_due(limit);
    if queue.is_empty() && !is_policy_due {
        return;
    }
    let is_few = (1..=MAX_URGENT_RECORDS).contains(&queue.records());
    let is_urgent = is_policy_due || is_few || queue.holds_own();
    let keys = if is_urgent {
        pick_all(channel, rng)
    } else {
        pick_one(channel, rng)
    };
    let allowance = UpdateAllowance {
        bytes: UPDATE_BYTES_PER_TICK / keys.len().max(1),
        status_bytes: STATUS_BYTES_PER_TICK / keys.len().max(1),
    };
    for key in keys {
        if let Some(entry) = channel.register.table().get(key) {
            let recipient = entry.record.id;
            channel.send_updates(recipient, PacketBody::Gossip, allowance);
        }
    }
}

fn pick_all<R: Rng>(channel: &GossipChannel, rng: &mut R) -> Vec<MemberKey> {
    let peers = channel.register.peers();
    let mut keys = pick_some(&peers.region, REGION_FANOUT, rng, |_| true);
    let wanted = REGION_FANOUT + GLOBAL_FANOUT - keys.len();
    let others = pick_some(peers.reachable(), wanted, rng, |key| !keys.contains(&key));
    keys.extend(others);
    keys
}

fn pick_one<R: Rng>(channel: &GossipChannel, rng: &mut R) -> Vec<MemberKey> {
    const FANOUT: usize = REGION_FANOUT + GLOBAL_FANOUT;
    let peers = channel.register.peers();
    let is_global = rng.random_range(0..FANOUT) < GLOBAL_FANOUT;
    let keys = if is_global || peers.region.is_empty() {
        peers.reachable()
    } else {
        &peers.region
    };
    pick_some(keys, 1, rng, |_| true)
}
