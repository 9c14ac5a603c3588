use {
    super::{
        LeastService, PressureReport, QueuePressure, ServiceLimiter, TreeCost,
        lift_record::LiftRecord, pressure_report::ServicePressure, rank_set::RankSet,
        rank_shares::RankShares, route_cost::RouteCost, service_limiter::MAX_RANK_LEVEL,
        service_ranks::ServiceRanks,
    },
    crate::{context::ServiceName, time::TimePoint},
    std::{collections::HashMap, time::Duration},
};

/// Requests of routes with an unknown cost that may be in flight while a service is loaded, as a
/// multiple of this sidecar's share of the service's concurrency limit, and the increase with each
/// rank above the lowest.
const UNKNOWN_IN_FLIGHT_SHARE: f64 = 1.2;
const UNKNOWN_IN_FLIGHT_STEP: f64 = 0.5;
/// Time after which a caller whose request has an unknown cost may return; by then the first
/// requests of the route have ended.
const UNKNOWN_COST_DELAY: Duration = Duration::from_millis(300);
/// Maximum number of routes whose cost is tracked.
const MAX_ROUTES: usize = 4_096;
/// Maximum number of services that have a limiter.
const MAX_SERVICES: usize = 1_024;

/// Decides at the ingress sidecar, where a call chain enters the mesh, which requests may start.
///
/// Responses report what a request cost at each service and how loaded the service is. While a
/// service is overloaded, the requests that reach it are admitted in order of rank up to a rate
/// limit; the rest is refused before any of it runs. Calls of admitted requests wait for slots and
/// are not shed for load alone.
///
/// A rank whose requests are served much less often than all is *lifted*: while the capacity that
/// [`LeastService`] keeps for that lasts, its requests go with the highest rank, at this sidecar
/// and at all targets that they reach.
#[derive(Clone, Debug, Default)]
pub struct IngressAdmission {
    routes: HashMap<String, RouteCost>,
    limiters: HashMap<ServiceName, ServiceLimiter>,
    ranks: HashMap<ServiceName, ServiceRanks>,
    shares: RankShares,
    least_service: LeastService,
    lift_record: LiftRecord,
    /// Most loaded service, while one is loaded.
    loaded_service: Option<LoadedService>,
}

/// Service on which requests of unknown cost are assumed to call.
#[derive(Clone, Debug)]
struct LoadedService {
    name: ServiceName,
    /// This sidecar's share of its concurrency limit.
    fair_share: f64,
}

/// A request that may start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestAdmission {
    /// Rank with which its calls wait for slots.
    pub queue_rank: u8,
    /// Whether it is admitted with the highest rank, since its own is served too little.
    pub is_lifted: bool,
}

/// An admitted request that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndedRequest {
    /// Rank by its account and route.
    pub rank: u8,
    pub is_lifted: bool,
    /// Whether its caller got a complete response.
    pub is_served: bool,
}

/// Refusal of a request at the ingress sidecar.
#[derive(Clone, Debug, PartialEq)]
pub struct IngressRefusal {
    /// Overloaded service that the request would reach.
    pub service: ServiceName,
    pub pressure: QueuePressure,
    /// Rate limit of this sidecar for the service, in slot seconds per second.
    pub rate_limit: f64,
    /// Time until a request of this cost is expected to be admitted.
    pub retry_after: Duration,
}

impl IngressAdmission {
    #[must_use]
    pub fn new(least_service: LeastService) -> Self {
        Self {
            least_service,
            ..Self::default()
        }
    }

    /// Decides whether a request may start and charges its expected cost. An admitted request must
    /// be ended by [`Self::record_end`].
    ///
    /// # Errors
    /// The rate limit of a service that the request would reach is exhausted for its rank, or the
    /// cost of the route is unknown and enough such requests are in flight.
    pub fn admit(
        &mut self,
        now: TimePoint,
        route: &str,
        rank: u8,
    ) -> Result<RequestAdmission, IngressRefusal> {
        let result = self.admit_ranked(now, route, rank);
        if result.is_err() {
            self.shares.record(now, rank, false);
        }
        result
    }

    fn admit_ranked(
        &mut self,
        now: TimePoint,
        route: &str,
        rank: u8,
    ) -> Result<RequestAdmission, IngressRefusal> {
        let mut admission = RequestAdmission {
            queue_rank: rank,
            is_lifted: false,
        };
        if !self.routes.contains_key(route) {
            if self.routes.len() >= MAX_ROUTES {
                return Ok(admission);
            }
            self.routes.insert(route.to_owned(), RouteCost::default());
        }
        if self.is_unknown_limit_reached(route, rank)
            && let Some(refusal) = self.unknown_cost_refusal()
        {
            return Err(refusal);
        }
        let is_short = self
            .shares
            .is_short(now, rank, self.least_service.relative_share);
        let Some(cost) = self.routes.get_mut(route) else {
            return Ok(admission);
        };
        cost.ranks.insert(rank);
        if is_short && cost.is_unknown() {
            cost.in_flight += 1;
            // The cost would stay unknown if calls of the route never got a slot.
            if let Some(highest) = self.lift_unknown() {
                admission.queue_rank = rank.max(highest);
                admission.is_lifted = true;
            }
            return Ok(admission);
        }
        let lifted_rank = if is_short {
            lifted_rank(cost, &self.limiters, &self.ranks, rank)
        } else {
            None
        };
        match check_limits(now, cost, &mut self.limiters, &self.ranks, rank) {
            Ok(()) => {
                let queue_rank = charge_limits(cost, &mut self.limiters, &self.ranks, rank);
                admission.queue_rank = lifted_rank.unwrap_or(queue_rank);
            }
            Err(refusal) => {
                let has_lift = has_lift(cost, &self.limiters);
                admission.queue_rank = lifted_rank.filter(|_| has_lift).ok_or(refusal)?;
                charge_lift(cost, &mut self.limiters);
            }
        }
        admission.is_lifted = lifted_rank.is_some();
        cost.in_flight += 1;
        Ok(admission)
    }

    /// Lifts a request of unknown cost to the highest rank at the most loaded service; `None` if the
    /// service has no capacity left for that.
    fn lift_unknown(&mut self) -> Option<u8> {
        let loaded = self.loaded_service.as_ref()?;
        let ranks = self.ranks.get(&loaded.name)?;
        let limiter = self.limiters.get_mut(&loaded.name)?;
        limiter.admits_lift().then(|| {
            limiter.take_lift(ranks.highest_rank_cost());
            ranks.highest
        })
    }

    /// Records that an admitted request has ended.
    pub fn record_end(&mut self, now: TimePoint, route: &str, ended: EndedRequest) {
        self.shares.record(now, ended.rank, ended.is_served);
        if ended.is_lifted {
            self.lift_record.record(now, ended.is_served);
        }
        if let Some(cost) = self.routes.get_mut(route) {
            cost.in_flight = cost.in_flight.saturating_sub(1);
        }
    }

    /// Whether the cost of the route is unknown, a service is loaded, and enough requests of unknown
    /// cost are in flight. Those of lower ranks don't count.
    fn is_unknown_limit_reached(&self, route: &str, rank: u8) -> bool {
        let Some(loaded) = &self.loaded_service else {
            return false;
        };
        if self.routes.get(route).is_none_or(|cost| !cost.is_unknown()) {
            return false;
        }
        let unknown = self.routes.values().filter(|cost| cost.is_unknown());
        let in_flight: u32 = unknown
            .filter(|cost| cost.ranks.highest() >= Some(rank))
            .map(|cost| cost.in_flight)
            .sum();
        let lowest = self.ranks.get(&loaded.name).map(|ranks| ranks.lowest);
        let step = f64::from(rank.saturating_sub(lowest.unwrap_or(rank)));
        let limit_share = UNKNOWN_IN_FLIGHT_SHARE + step * UNKNOWN_IN_FLIGHT_STEP;
        f64::from(in_flight) >= (loaded.fair_share * limit_share).max(1.0)
    }

    fn unknown_cost_refusal(&self) -> Option<IngressRefusal> {
        let loaded = self.loaded_service.as_ref()?;
        let limiter = self.limiters.get(&loaded.name)?;
        Some(IngressRefusal {
            service: loaded.name.clone(),
            pressure: limiter.pressure(),
            rate_limit: limiter.rate_limit().unwrap_or_default(),
            retry_after: UNKNOWN_COST_DELAY,
        })
    }

    /// Records the pressure of a service, measured at `now`.
    pub fn record_pressure(
        &mut self,
        now: TimePoint,
        service: &ServiceName,
        pressure: QueuePressure,
    ) {
        if let Some(limiter) = self.limiter_mut(now, service) {
            limiter.record_pressure(now, pressure);
        }
    }

    /// Records what a request has cost; `is_complete` is whether it succeeded.
    ///
    /// A failed request has cost at least as much as it reports, so it counts too. Otherwise, while
    /// a service is so overloaded that every request fails, no route would have a known cost, and
    /// nothing would be refused.
    pub fn record_cost(&mut self, route: &str, rank: u8, tree_cost: &TreeCost, is_complete: bool) {
        if self.routes.len() < MAX_ROUTES || self.routes.contains_key(route) {
            let cost = self.routes.entry(route.to_owned()).or_default();
            cost.ranks.insert(rank);
            if is_complete {
                cost.record_full_cost(tree_cost);
            } else {
                cost.record_partial_cost(tree_cost);
            }
        }
    }

    /// Records how long a complete request took, and the time within which its response is useful.
    pub fn record_latency(&mut self, route: &str, elapsed: Duration, limit: Duration) {
        if let Some(cost) = self.routes.get_mut(route) {
            cost.record_latency(elapsed.as_secs_f64(), limit.as_secs_f64());
        }
    }

    /// Merges the pressures that another sidecar reports.
    pub fn merge_report(&mut self, now: TimePoint, report: &PressureReport) {
        for reported in report.services() {
            if let Some(limiter) = self.limiter_mut(now, &reported.service) {
                limiter.merge_remote_pressure(now, reported.pressure, reported.age);
            }
        }
    }

    /// The most loaded services, for other sidecars; empty while none is loaded.
    #[must_use]
    pub fn pressure_report(&self, now: TimePoint) -> PressureReport {
        let limiters = self.limiters.iter();
        let known = limiters.map(|(service, limiter)| ServicePressure {
            service: service.clone(),
            pressure: limiter.pressure(),
            age: limiter.pressure_age(now),
        });
        PressureReport::new(known)
    }

    /// All limiters, for logs and metrics.
    pub fn limiters(&self) -> impl Iterator<Item = (&ServiceName, &ServiceLimiter)> {
        self.limiters.iter()
    }

    fn limiter_mut(
        &mut self,
        now: TimePoint,
        service: &ServiceName,
    ) -> Option<&mut ServiceLimiter> {
        if !self.limiters.contains_key(service) {
            if self.limiters.len() >= MAX_SERVICES {
                return None;
            }
            let limiter = ServiceLimiter::new(now);
            self.limiters.insert(service.clone(), limiter);
        }
        self.limiters.get_mut(service)
    }

    /// The limiter of a service; `None` until a pressure of the service is known.
    #[must_use]
    pub fn limiter(&self, service: &ServiceName) -> Option<&ServiceLimiter> {
        self.limiters.get(service)
    }

    /// Forgets the ranks of the requests so far, whose order another configuration may change.
    pub fn reset_ranks(&mut self) {
        for cost in self.routes.values_mut() {
            cost.ranks = RankSet::default();
        }
        self.shares.reset();
    }

    /// Updates the rate limits; `fair_share` is one sidecar's share of the concurrency limit of a
    /// service.
    pub fn tick<F>(&mut self, now: TimePoint, fair_share: F)
    where
        F: Fn(&ServiceName) -> f64,
    {
        let lift_share = self.least_service.capacity_share * self.lift_record.rate_factor(now);
        for (service, limiter) in &mut self.limiters {
            limiter.set_lift_share(lift_share);
            let ranks = self.ranks.get(service);
            let affordable_queue = ranks.and_then(|ranks| ranks.affordable_queue);
            let top_level = ranks.map_or(MAX_RANK_LEVEL, ServiceRanks::top_level);
            limiter.set_top_level(top_level);
            limiter.tick(now, fair_share(service), affordable_queue);
        }
        let limiters = self.limiters.iter();
        let loaded = limiters.filter(|(_, limiter)| limiter.rate_limit().is_some());
        let most_loaded = loaded
            .max_by(|(_, one), (_, other)| one.pressure().total.total_cmp(&other.pressure().total));
        self.loaded_service = most_loaded.map(|(service, _)| LoadedService {
            name: service.clone(),
            fair_share: fair_share(service),
        });
        self.update_ranks();
    }

    /// Caches the ranks that reach each service; computing them per request would be too slow.
    /// Routes of unknown cost may reach any service, so they count for the lowest rank of each; one
    /// of which no request has been admitted counts below all others.
    fn update_ranks(&mut self) {
        self.ranks.clear();
        for cost in self.routes.values() {
            for (service, slot_seconds) in &cost.services {
                let queue = cost.affordable_queue(*slot_seconds);
                let Some(route) = ServiceRanks::of_route(cost.ranks, *slot_seconds, queue) else {
                    continue;
                };
                if let Some(ranks) = self.ranks.get_mut(service) {
                    ranks.merge(route);
                } else {
                    self.ranks.insert(service.clone(), route);
                }
            }
        }
        let mut scale = RankSet::default();
        for cost in self.routes.values() {
            scale.merge(cost.ranks);
        }
        for ranks in self.ranks.values_mut() {
            ranks.set_scale(scale);
        }
        let unknown = self.routes.values().filter(|cost| cost.is_unknown());
        if let Some(lowest) = unknown.map(|cost| cost.ranks.lowest().unwrap_or(0)).min() {
            for ranks in self.ranks.values_mut() {
                ranks.include_rank(lowest);
            }
        }
    }
}

type ServiceLimiters = HashMap<ServiceName, ServiceLimiter>;
type RanksByService = HashMap<ServiceName, ServiceRanks>;

/// Checks the rate limits of the services that a request reaches.
fn check_limits(
    now: TimePoint,
    cost: &RouteCost,
    limiters: &mut ServiceLimiters,
    ranks: &RanksByService,
    rank: u8,
) -> Result<(), IngressRefusal> {
    for (service, slot_seconds) in &cost.services {
        let Some(limiter) = limiters.get_mut(service) else {
            continue;
        };
        let ranks = ranks.get(service);
        let level = ranks.map_or(0, |ranks| ranks.level(rank, *slot_seconds));
        if !limiter.admits(level) {
            limiter.record_refusal(now);
            return Err(IngressRefusal {
                service: service.clone(),
                pressure: limiter.pressure(),
                rate_limit: limiter.rate_limit().unwrap_or_default(),
                retry_after: limiter.admission_delay(level, *slot_seconds),
            });
        }
    }
    Ok(())
}

/// Charges an admitted request to the services that it reaches; returns the rank with which its
/// calls wait for slots.
fn charge_limits(
    cost: &RouteCost,
    limiters: &mut ServiceLimiters,
    ranks: &RanksByService,
    rank: u8,
) -> u8 {
    let mut queue_rank = rank;
    for (service, slot_seconds) in &cost.services {
        let ranks = ranks.get(service);
        let level = ranks.map_or(0, |ranks| ranks.level(rank, *slot_seconds));
        let Some(limiter) = limiters.get_mut(service) else {
            continue;
        };
        limiter.charge(level, *slot_seconds);
        let is_cheap = ranks.is_some_and(|ranks| ranks.is_cheap(rank, *slot_seconds));
        if is_cheap && limiter.has_urgent_queue() {
            queue_rank = ranks.map_or(rank, |ranks| queue_rank.max(ranks.band_highest(rank)));
        }
    }
    queue_rank
}

/// Rank to which requests of a rank that is served too little are lifted: the highest at the
/// overloaded services that they reach; `None` if none is overloaded.
fn lifted_rank(
    cost: &RouteCost,
    limiters: &ServiceLimiters,
    ranks: &RanksByService,
    rank: u8,
) -> Option<u8> {
    let services = cost.services.iter().map(|(service, _)| service);
    let is_limiting = |service: &&ServiceName| {
        let limiter = limiters.get(*service);
        limiter.is_some_and(ServiceLimiter::is_limiting)
    };
    let highest = services.filter(is_limiting).filter_map(|service| {
        let ranks = ranks.get(service)?;
        Some(ranks.highest)
    });
    highest.max().filter(|highest| *highest > rank)
}

/// Whether all overloaded services have capacity left for a lifted request.
fn has_lift(cost: &RouteCost, limiters: &ServiceLimiters) -> bool {
    let services = cost.services.iter();
    let limiters = services.filter_map(|(service, _)| limiters.get(service));
    let mut limiting = limiters.filter(|limiter| limiter.is_limiting());
    limiting.all(ServiceLimiter::admits_lift)
}

/// Charges a lifted request that its own rank would not have admitted.
fn charge_lift(cost: &RouteCost, limiters: &mut ServiceLimiters) {
    for (service, slot_seconds) in &cost.services {
        if let Some(limiter) = limiters.get_mut(service) {
            limiter.charge_lift(*slot_seconds);
        }
    }
}
