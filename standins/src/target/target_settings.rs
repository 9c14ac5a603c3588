use {
    banyantrestle::context::ServiceName,
    std::{net::SocketAddr, time::Duration},
};

/// Distribution of the service time around its mean.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TimeDistribution {
    Fixed,
    /// Uniform between 0.5 and 1.5 times the mean.
    Uniform,
    Exponential,
}

/// Settings of a stand-in target.
#[derive(Clone, Debug)]
pub struct TargetSettings {
    pub service: ServiceName,
    pub listen: SocketAddr,
    /// Number of calls that run concurrently; further calls wait in the target.
    pub slots: u32,
    /// Maximum number of open connections.
    pub connections: u32,
    /// Mean time for which a call holds a slot, without its calls to other services.
    pub mean_service_time: Duration,
    pub time_distribution: TimeDistribution,
    /// Growth of the service time with the waiting calls: the time is multiplied by
    /// `1 + contention * waiting / slots`.
    pub contention: f64,
    /// Services that the target calls for each call whose path names none.
    pub called_services: Vec<ServiceName>,
    /// The calls to these services are concurrent instead of in sequence.
    pub is_fan_out: bool,
    /// Maximum time of a call to another service, until its response is complete.
    pub call_timeout: Duration,
    /// Time after the start during which the service time is longer.
    pub cold_start: Duration,
    /// Multiplier of the service time during the cold start.
    pub cold_factor: f64,
    /// Age of the load and health that the target reports.
    pub report_lag: Duration,
    pub seed: u64,
}

impl TargetSettings {
    /// Settings of a target with 20 slots and a mean service time of 10 ms on a free loopback port.
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
