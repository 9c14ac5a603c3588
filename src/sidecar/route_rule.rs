use {crate::context::ServiceName, std::time::Duration};

/// Whether a request of a route may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteRetrySafety {
    Idempotent,
    /// Runs at most once for each attempt of its caller.
    NonIdempotent,
}

/// One service of a traffic split, with its share of the requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedService {
    pub service: ServiceName,
    pub weight: u32,
}

/// One route of the operator's configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteRule {
    pub name: String,
    pub host: String,
    /// Begins and ends with a slash.
    pub prefix: String,
    pub safety: RouteRetrySafety,
    /// Maximum time until the caller gets a response.
    pub timeout: Duration,
    /// Latency within which a response has its full value to the caller.
    pub latency_objective: Duration,
    /// Maximum number of targets that may run one attempt of a caller.
    pub max_attempts: u32,
    /// Rank of the class; under load, lower ranks are refused first. That of the account goes before
    /// it.
    pub rank: u8,
    /// Whether requests need no key of an account.
    pub is_public: bool,
    /// Has at least one entry.
    pub traffic_split: Vec<WeightedService>,
}

impl RouteRule {
    #[must_use]
    pub fn is_idempotent(&self) -> bool {
        self.safety == RouteRetrySafety::Idempotent
    }

    /// Chooses a service by weight; `position` is a share of the total weight, from 0 to 1.
    #[must_use]
    pub fn choose_service(&self, position: f64) -> Option<&ServiceName> {
        let total: u32 = self
            .traffic_split
            .iter()
            .map(|weighted| weighted.weight)
            .sum();
        let mut remaining = position * f64::from(total);
        for weighted in &self.traffic_split {
            remaining -= f64::from(weighted.weight);
            if remaining < 0.0 {
                return Some(&weighted.service);
            }
        }
        self.traffic_split.last().map(|weighted| &weighted.service)
    }
}
