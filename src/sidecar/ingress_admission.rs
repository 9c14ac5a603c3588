use {
    super::{PressureReport, ServiceLimiter, TreeCost, pressure_report::ServicePressure},
    crate::{context::ServiceName, time::TimePoint},
    std::{collections::HashMap, time::Duration},
};

/// Weight of the newest request in the mean cost of a route.
const COST_WEIGHT: f64 = 0.05;
/// Requests of a route after which its mean cost counts the newest at that weight.
const FIRST_REQUESTS: u32 = 20;
/// Routes with a row of their own.
const MAX_ROUTES: usize = 4_096;
/// Services with a valve of their own.
const MAX_SERVICES: usize = 1_024;

/// What requests of one route cost on average.
#[derive(Clone, Debug, Default)]
struct RouteCost {
    rank: u8,
    requests: u32,
    /// Slot seconds for each service.
    services: Vec<(ServiceName, f64)>,
}

/// Decides at the front of a chain which requests may start.
///
/// Answers carry back what a request cost at each service and how loaded the service is. While a
/// service is loaded, the requests that reach it are admitted in the order of their rank up to a
/// rate, and the rest is refused before any of it has run. What is admitted is carried through.
#[derive(Clone, Debug, Default)]
pub struct IngressAdmission {
    routes: HashMap<String, RouteCost>,
    valves: HashMap<ServiceName, ServiceLimiter>,
    /// Lowest rank among the routes that reach a service.
    lowest_ranks: HashMap<ServiceName, u8>,
}

/// A request that was refused at the front.
#[derive(Clone, Debug, PartialEq)]
pub struct IngressRefusal {
    /// Service that has no room.
    pub service: ServiceName,
    pub pressure: f64,
    /// Slot seconds a second that the front admits for it.
    pub rate: f64,
    /// Time until there is room again.
    pub wait: Duration,
}

impl IngressAdmission {
    /// Decides on one request.
    ///
    /// # Errors
    /// A service that the request would reach has no room for its rank.
    pub fn admit(&mut self, now: TimePoint, route: &str, rank: u8) -> Result<(), IngressRefusal> {
        let Some(cost) = self.routes.get_mut(route) else {
            return Ok(());
        };
        cost.rank = rank;
        for (service, seconds) in &cost.services {
            let Some(valve) = self.valves.get_mut(service) else {
                continue;
            };
            let lowest = self.lowest_ranks.get(service).copied().unwrap_or(rank);
            if !valve.is_open(rank.saturating_sub(lowest)) {
                valve.note_refusal(now);
                return Err(IngressRefusal {
                    service: service.clone(),
                    pressure: valve.pressure(),
                    rate: valve.rate().unwrap_or_default(),
                    wait: valve.wait_for(*seconds),
                });
            }
        }
        for (service, seconds) in &cost.services {
            if let Some(valve) = self.valves.get_mut(service) {
                valve.admit(*seconds);
            }
        }
        Ok(())
    }

    /// Takes the pressure of a service, as measured now.
    pub fn note_pressure(&mut self, now: TimePoint, service: &ServiceName, pressure: f64) {
        if let Some(valve) = self.valve_mut(now, service) {
            valve.note_pressure(now, pressure);
        }
    }

    /// Takes what a request has cost.
    ///
    /// One that did not end well has cost at least as much. That counts too: where a service is
    /// crushed no request ends well, and without a cost none would be refused.
    pub fn note_cost(&mut self, route: &str, rank: u8, tree: &TreeCost, is_whole: bool) {
        if self.routes.len() < MAX_ROUTES || self.routes.contains_key(route) {
            let row = self.routes.entry(route.to_owned()).or_default();
            row.rank = rank;
            if is_whole {
                row.observe_whole(tree);
            } else {
                row.observe_part(tree);
            }
        }
    }

    /// Takes what another daemon knows of loaded services.
    pub fn hear(&mut self, now: TimePoint, rumour: &PressureReport) {
        for known in rumour.services() {
            if let Some(valve) = self.valve_mut(now, &known.service) {
                valve.hear_pressure(now, known.pressure, known.age);
            }
        }
    }

    /// The most loaded services, for other daemons; empty while none is loaded.
    #[must_use]
    pub fn rumour(&self, now: TimePoint) -> PressureReport {
        let valves = self.valves.iter();
        let known = valves.map(|(service, valve)| ServicePressure {
            service: service.clone(),
            pressure: valve.pressure(),
            age: valve.age(now),
        });
        PressureReport::new(known)
    }

    /// All valves, for logs and metrics.
    pub fn valves(&self) -> impl Iterator<Item = (&ServiceName, &ServiceLimiter)> {
        self.valves.iter()
    }

    fn valve_mut(&mut self, now: TimePoint, service: &ServiceName) -> Option<&mut ServiceLimiter> {
        if !self.valves.contains_key(service) {
            if self.valves.len() >= MAX_SERVICES {
                return None;
            }
            let valve = ServiceLimiter::new(now);
            self.valves.insert(service.clone(), valve);
        }
        self.valves.get_mut(service)
    }

    /// The valve of a service, if answers have told of it.
    #[must_use]
    pub fn valve(&self, service: &ServiceName) -> Option<&ServiceLimiter> {
        self.valves.get(service)
    }

    /// Moves the rates; `fair_share` is the share of one front in the slots of a service.
    pub fn tick<F>(&mut self, now: TimePoint, fair_share: F)
    where
        F: Fn(&ServiceName) -> f64,
    {
        for (service, valve) in &mut self.valves {
            valve.tick(now, fair_share(service));
        }
        self.rank_services();
    }

    /// Finds the lowest rank that reaches each service, which is too slow for each request.
    fn rank_services(&mut self) {
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
    fn observe_whole(&mut self, tree: &TreeCost) {
        self.requests = (self.requests + 1).min(FIRST_REQUESTS);
        let weight = COST_WEIGHT.max(1.0 / f64::from(self.requests));
        for (_, seconds) in &mut self.services {
            *seconds *= 1.0 - weight;
        }
        for cost in tree.services() {
            *self.seconds_mut(&cost.service) += cost.slot_time.as_secs_f64() * weight;
        }
    }

    /// Raises the cost where a part of a request has cost more than the mean of whole ones.
    fn observe_part(&mut self, tree: &TreeCost) {
        let weight = if self.requests == 0 { 1.0 } else { COST_WEIGHT };
        for cost in tree.services() {
            let seconds = self.seconds_mut(&cost.service);
            let excess = cost.slot_time.as_secs_f64() - *seconds;
            *seconds += excess.max(0.0) * weight;
        }
    }

    fn seconds_mut(&mut self, service: &ServiceName) -> &mut f64 {
        let known = self.services.iter().position(|(name, _)| name == service);
        let index = known.unwrap_or_else(|| {
            self.services.push((service.clone(), 0.0));
            self.services.len() - 1
        });
        &mut self.services[index].1
    }
}
