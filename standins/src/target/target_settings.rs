use {
    banyantrestle::context::ServiceName,
    std::{net::SocketAddr, time::Duration},
};

/// How the service time is spread around its mean.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TimeDistribution {
    Fixed,
    /// Evenly between half and one and a half of the mean.
    Uniform,
    Exponential,
}

/// What a stand-in target is and does.
#[derive(Clone, Debug)]
pub struct TargetSettings {
    pub service: ServiceName,
    pub listen: SocketAddr,
    /// Calls that run at once; more wait inside the target.
    pub slots: u32,
    /// Connections that are accepted.
    pub connections: u32,
    /// Mean of the time that a call holds a slot by itself.
    pub mean_service_time: Duration,
    pub time_distribution: TimeDistribution,
    /// Growth of the service time for each waiting call, as a share per slot.
    pub contention: f64,
    /// Services that are called for each call whose path names none.
    pub called_services: Vec<ServiceName>,
    /// The calls are made all at once instead of in sequence.
    pub is_fan_out: bool,
    /// Time for the answer to a call on to another service.
    pub call_timeout: Duration,
    /// Time after the start in which the service time is longer.
    pub cold_start: Duration,
    /// Factor on the service time while cold.
    pub cold_factor: f64,
    /// Age of what the load and health paths report.
    pub report_lag: Duration,
    pub seed: u64,
}

impl TargetSettings {
    /// A target of 20 slots and 10 ms on a free loopback port.
    #[must_use]
    pub fn new(service: &ServiceName) -> Self {
        Self {
            service: service.clone(),
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            slots: 20,
            connections: 1_024,
            mean_service_time: Duration::from_millis(10),
            time_distribution: TimeDistribution::Uniform,
            contention: 0.0,
            called_services: Vec::new(),
            is_fan_out: false,
            call_timeout: Duration::from_secs(2),
            cold_start: Duration::ZERO,
            cold_factor: 5.0,
            report_lag: Duration::ZERO,
            seed: 1,
        }
    }
}
