use {crate::context::ServiceName, std::time::Duration};

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    Idempotent,
    /// Runs at most once for each attempt of its caller.
    NonIdempotent,
}

/// One service of a split, and its share of the requests.
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
    pub safety: RetrySafety,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer is worth most.
    pub latency_objective: Duration,
    /// Targets that one attempt of a caller may run on.
    pub max_attempts: u32,
    /// Rank of the class; higher is served longer.
    pub rank: u8,
    /// At least one part.
    pub traffic_split: Vec<WeightedService>,
}

impl RouteRule {
    #[must_use]
    pub fn is_idempotent(&self) -> bool {
        self.safety == RetrySafety::Idempotent
    }

    /// The service at `point`, from 0 to 1, of the split laid end to end.
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
