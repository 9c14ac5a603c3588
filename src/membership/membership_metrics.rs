use {
    super::{GossipCounters, MemberState, MembershipStats},
    metrics::{counter, gauge},
};

/// Publishes the membership counters and member counts as metrics.
pub fn publish_metrics(stats: &MembershipStats) {
    publish_traffic(&stats.counters);
    publish_drops(&stats.counters);
    publish_probes(&stats.counters);
    publish_members(MemberState::Alive, stats.alive);
    publish_members(MemberState::Suspect, stats.suspect);
    publish_members(MemberState::Leaving, stats.leaving);
    publish_members(MemberState::Dead, stats.dead);
}

fn publish_traffic(counters: &GossipCounters) {
    counter!("banyantrestle_gossip_datagrams_total", "direction" => "in")
        .absolute(counters.datagrams_in);
    counter!("banyantrestle_gossip_datagrams_total", "direction" => "out")
        .absolute(counters.datagrams_out);
    counter!("banyantrestle_gossip_bytes_total", "direction" => "in").absolute(counters.bytes_in);
    counter!("banyantrestle_gossip_bytes_total", "direction" => "out").absolute(counters.bytes_out);
    counter!("banyantrestle_gossip_exchanges_total", "result" => "done")
        .absolute(counters.exchanges);
    counter!("banyantrestle_gossip_exchanges_total", "result" => "failed")
        .absolute(counters.exchange_failures);
    counter!("banyantrestle_gossip_exchange_bytes_total").absolute(counters.exchange_bytes);
}

fn publish_drops(counters: &GossipCounters) {
    for (reason, count) in counters.drops() {
        let reason: &'static str = reason.into();
        counter!("banyantrestle_gossip_dropped_total", "reason" => reason).absolute(count);
    }
}

fn publish_probes(counters: &GossipCounters) {
    counter!("banyantrestle_probes_total", "result" => "sent").absolute(counters.probes);
    counter!("banyantrestle_probes_total", "result" => "failed").absolute(counters.probe_failures);
    counter!("banyantrestle_suspicions_total").absolute(counters.suspicions);
    counter!("banyantrestle_refutations_total").absolute(counters.refutations);
}

fn publish_members(state: MemberState, count: usize) {
    let state: &'static str = state.into();
    let count = u32::try_from(count).unwrap_or(u32::MAX);
    gauge!("banyantrestle_members", "state" => state).set(f64::from(count));
}
