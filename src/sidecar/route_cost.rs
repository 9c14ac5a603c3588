use {
    super::{TreeCost, rank_set::RankSet},
    crate::context::ServiceName,
};

/// Weight of the newest request in the mean cost of a route, after the warm-up.
const COST_SAMPLE_WEIGHT: f64 = 0.05;
/// Number of requests of a route over which the weight of a new one falls to
/// [`COST_SAMPLE_WEIGHT`].
const WARM_UP_REQUESTS: u32 = 20;
/// Weights of a lower and of a higher sample in the base latency of a route, which is an estimate
/// without queueing.
const LOWER_LATENCY_WEIGHT: f64 = 0.2;
const HIGHER_LATENCY_WEIGHT: f64 = 0.01;
/// Share of the time that requests of the lowest rank have to spare which their calls may spend in
/// the queue of a loaded service.
const SPARE_TIME_SHARE: f64 = 0.2;

/// Mean cost of the requests of one route.
#[derive(Clone, Debug, Default)]
pub(super) struct RouteCost {
    /// Ranks of its requests since the configuration came into force.
    pub(super) ranks: RankSet,
    requests: u32,
    pub(super) in_flight: u32,
    timing: Option<RouteTiming>,
    /// Mean slot seconds per request for each service.
    pub(super) services: Vec<(ServiceName, f64)>,
}

/// Time that requests of a route take and have, in seconds.
#[derive(Clone, Copy, Debug)]
struct RouteTiming {
    base_latency: f64,
    limit: f64,
}

impl RouteCost {
    /// Whether no request of the route has ended yet.
    pub(super) fn is_unknown(&self) -> bool {
        self.requests == 0 && self.services.is_empty()
    }

    pub(super) fn record_full_cost(&mut self, tree_cost: &TreeCost) {
        self.requests = (self.requests + 1).min(WARM_UP_REQUESTS);
        let weight = COST_SAMPLE_WEIGHT.max(1.0 / f64::from(self.requests));
        for (_, slot_seconds) in &mut self.services {
            *slot_seconds *= 1.0 - weight;
        }
        for cost in tree_cost.services() {
            *self.slot_seconds_mut(&cost.service) += cost.slot_time.as_secs_f64() * weight;
        }
    }

    pub(super) fn record_latency(&mut self, elapsed: f64, limit: f64) {
        let timing = self.timing.get_or_insert(RouteTiming {
            base_latency: elapsed,
            limit,
        });
        timing.limit = limit;
        let difference = elapsed - timing.base_latency;
        let weight = if difference < 0.0 {
            LOWER_LATENCY_WEIGHT
        } else {
            HIGHER_LATENCY_WEIGHT
        };
        timing.base_latency += difference * weight;
    }

    /// Queue in which the calls of a request spend its share of the spare time, relative to the
    /// slots that such requests use: by Little's law, a queue as long as these slots adds the time
    /// for which the request holds slots.
    pub(super) fn affordable_queue(&self, slot_seconds: f64) -> Option<f64> {
        let timing = self.timing?;
        let spare_time = (timing.limit - timing.base_latency).max(0.0);
        (slot_seconds > 0.0).then(|| SPARE_TIME_SHARE * spare_time / slot_seconds)
    }

    /// Raises the mean where a failed request has already cost more than the mean of complete ones.
    pub(super) fn record_partial_cost(&mut self, tree_cost: &TreeCost) {
        let weight = if self.requests == 0 {
            1.0
        } else {
            COST_SAMPLE_WEIGHT
        };
        for cost in tree_cost.services() {
            let slot_seconds = self.slot_seconds_mut(&cost.service);
            let excess = cost.slot_time.as_secs_f64() - *slot_seconds;
            *slot_seconds += excess.max(0.0) * weight;
        }
    }

    pub(super) fn slot_seconds_mut(&mut self, service: &ServiceName) -> &mut f64 {
        let known = self.services.iter().position(|(name, _)| name == service);
        let index = known.unwrap_or_else(|| {
            self.services.push((service.clone(), 0.0));
            self.services.len() - 1
        });
        &mut self.services[index].1
    }
}
