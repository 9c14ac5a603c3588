use {crate::context::ServiceName, std::time::Duration};

/// Response header with the cost of a call and its child calls, for the caller's sidecar.
pub(crate) const TREE_COST_HEADER: &str = "bt-tree";

/// Maximum number of services in the header; those with the least pressure are left out.
const MAX_SERVICES: usize = 4;
const PERCENT: f64 = 100.0;

/// Cost of a call at one service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceCost {
    pub service: ServiceName,
    /// Time for which slots of its targets were held.
    pub slot_time: Duration,
    /// Running and queued calls divided by the concurrency limit; 1 is full.
    pub pressure: f64,
}

/// Slot time of a call and its child calls, by service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TreeCost {
    services: Vec<ServiceCost>,
}

impl TreeCost {
    /// Adds the cost of one call; the latest pressure replaces earlier ones.
    pub fn add(&mut self, service: &ServiceName, slot_time: Duration, pressure: f64) {
        let known = self
            .services
            .iter_mut()
            .find(|cost| cost.service == *service);
        if let Some(cost) = known {
            cost.slot_time += slot_time;
            cost.pressure = pressure;
            return;
        }
        self.services.push(ServiceCost {
            service: service.clone(),
            slot_time,
            pressure,
        });
    }

    /// Replaces the pressure of one target by that of the whole service.
    pub fn set_pressure(&mut self, service: &ServiceName, pressure: f64) {
        let mut services = self.services.iter_mut();
        if let Some(cost) = services.find(|cost| cost.service == *service) {
            cost.pressure = pressure;
        }
    }

    pub fn merge(&mut self, other: &Self) {
        for cost in &other.services {
            self.add(&cost.service, cost.slot_time, cost.pressure);
        }
    }

    #[must_use]
    pub fn services(&self) -> &[ServiceCost] {
        &self.services
    }

    /// Encodes the header value: for each service its name, the slot time in microseconds and the
    /// pressure in percent, as in `top=100000/10`.
    #[must_use]
    pub fn encode(&self) -> String {
        let mut costs: Vec<&ServiceCost> = self.services.iter().collect();
        costs.sort_by(|one, other| other.pressure.total_cmp(&one.pressure));
        costs.truncate(MAX_SERVICES);
        let texts = costs.iter().map(|cost| {
            let micros = cost.slot_time.as_micros();
            format!("{}={micros}/{:.0}", cost.service, cost.pressure * PERCENT)
        });
        texts.collect::<Vec<_>>().join(",")
    }

    /// Parses a header value; malformed entries are skipped.
    #[must_use]
    pub fn decode(text: &str) -> Self {
        let mut tree = Self::default();
        for (service, slot_time, pressure) in text.split(',').filter_map(parse_entry) {
            if tree.services.len() < MAX_SERVICES {
                tree.add(&service, slot_time, pressure);
            }
        }
        tree
    }
}

fn parse_entry(text: &str) -> Option<(ServiceName, Duration, f64)> {
    let (service, rest) = text.split_once('=')?;
    let (micros, percent) = rest.split_once('/')?;
    let percent: u32 = percent.parse().ok()?;
    Some((
        ServiceName::new(service).ok()?,
        Duration::from_micros(micros.parse().ok()?),
        f64::from(percent) / PERCENT,
    ))
}
