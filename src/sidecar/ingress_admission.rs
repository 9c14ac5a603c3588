use {
    super::{PressureReport, ServiceLimiter, TreeCost, pressure_report::ServicePressure},
    crate::{context::ServiceName, time::TimePoint},
    std::{collections::HashMap, time::Duration},
};

/// Weight of the newest request in the mean cost of a route, after the warm-up.
const COST_SAMPLE_WEIGHT: f64 = 0.05;
/// Number of requests of a route over which the weight of a new one falls to
/// [`COST_SAMPLE_WEIGHT`].
const WARM_UP_REQUESTS: u32 = 20;
/// Maximum number of routes whose cost is tracked.
const MAX_ROUTES: usize = 4_096;
/// Maximum number of services that have a limiter.
const MAX_SERVICES: usize = 1_024;

/// Mean cost of the requests of one route.
#[derive(Clone, Debug, Default)]
struct RouteCost {
    rank: u8,
    requests: u32,
    /// Mean slot seconds per request for each service.
    services: Vec<(ServiceName, f64)>,
}

/// Decides at the ingress sidecar, where a call chain enters the mesh, which requests may start.
///
/// Responses report what a request cost at each service and how loaded the service is. While a
/// service is overloaded, the requests that reach it are admitted in order of rank up to a rate
/// limit; the rest is refused before any of it runs. Calls of admitted requests wait for slots and
/// are not shed for load alone.
#[derive(Clone, Debug, Default)]
pub struct IngressAdmission {
    routes: HashMap<String, RouteCost>,
    limiters: HashMap<ServiceName, ServiceLimiter>,
    /// Lowest rank among the routes that reach a service.
    lowest_ranks: HashMap<ServiceName, u8>,
}

/// Refusal of a request at the ingress sidecar.
#[derive(Clone, Debug, PartialEq)]
pub struct IngressRefusal {
    /// Overloaded service that the request would reach.
    pub service: ServiceName,
    pub pressure: f64,
    /// Rate limit of this sidecar for the service, in slot seconds per second.
    pub rate_limit: f64,
    /// Time until a request of this cost is expected to be admitted.
    pub retry_after: Duration,
}

impl IngressAdmission {
    /// Decides whether a request may start and charges its expected cost.
    ///
    /// # Errors
    /// The rate limit of a service that the request would reach is exhausted for its rank.
    pub fn admit(&mut self, now: TimePoint, route: &str, rank: u8) -> Result<(), IngressRefusal> {
        let Some(cost) = self.routes.get_mut(route) else {
            return Ok(());
        };
        cost.rank = rank;
        for (service, slot_seconds) in &cost.services {
            let Some(limiter) = self.limiters.get_mut(service) else {
                continue;
            };
            let lowest = self.lowest_ranks.get(service).copied().unwrap_or(rank);
            if !limiter.admits(rank.saturating_sub(lowest)) {
                limiter.record_refusal(now);
                return Err(IngressRefusal {
                    service: service.clone(),
                    pressure: limiter.pressure(),
                    rate_limit: limiter.rate_limit().unwrap_or_default(),
                    retry_after: limiter.admission_delay(*slot_seconds),
                });
            }
        }
        for (service, slot_seconds) in &cost.services {
            if let Some(limiter) = self.limiters.get_mut(service) {
                limiter.charge(*slot_seconds);
            }
        }
        Ok(())
    }

    /// Records the pressure of a service, measured at `now`.
    pub fn record_pressure(&mut self, now: TimePoint, service: &ServiceName, pressure: f64) {
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
            cost.rank = rank;
            if is_complete {
                cost.record_full_cost(tree_cost);
            } else {
                cost.record_partial_cost(tree_cost);
            }
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

    /// Updates the rate limits; `fair_share` is one sidecar's share of the concurrency limit of a
    /// service.
    pub fn tick<F>(&mut self, now: TimePoint, fair_share: F)
    where
        F: Fn(&ServiceName) -> f64,
    {
        for (service, limiter) in &mut self.limiters {
            limiter.tick(now, fair_share(service));
        }
        self.update_lowest_ranks();
    }

    /// Caches the lowest rank that reaches each service; computing it per request would be too
    /// slow.
    fn update_lowest_ranks(&mut self) {
        self.lowest_ranks.clear();
        for cost in self.routes.values() {
            for (service, _) in &cost.services {
                if let Some(lowest) = self.lowest_ranks.get_mut(service) {
                    *lowest = cost.rank.min(*lowest);
                } else {
                    self.lowest_ranks.insert(service.clone(), cost.rank);
                }
            }
        }
    }
}

impl RouteCost {
    fn record_full_cost(&mut self, tree_cost: &TreeCost) {
        self.requests = (self.requests + 1).min(WARM_UP_REQUESTS);
        let weight = COST_SAMPLE_WEIGHT.max(1.0 / f64::from(self.requests));
        for (_, slot_seconds) in &mut self.services {
            *slot_seconds *= 1.0 - weight;
        }
        for cost in tree_cost.services() {
            *self.slot_seconds_mut(&cost.service) += cost.slot_time.as_secs_f64() * weight;
        }
    }

    /// Raises the mean where a failed request has already cost more than the mean of complete ones.
    fn record_partial_cost(&mut self, tree_cost: &TreeCost) {
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

    fn slot_seconds_mut(&mut self, service: &ServiceName) -> &mut f64 {
        let known = self.services.iter().position(|(name, _)| name == service);
        let index = known.unwrap_or_else(|| {
            self.services.push((service.clone(), 0.0));
            self.services.len() - 1
        });
        &mut self.services[index].1
    }
}
