use std::time::Duration;

/// Outcomes of the calls of one class that were offered during the pressure phase.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClassResult {
    /// First attempts.
    pub offered: u32,
    /// First attempts that were served before their deadline.
    pub served_first_attempts: u32,
    /// Attempts that were served before their deadline, including retries.
    pub served_attempts: u32,
    pub refused: u32,
    /// Attempts that were queued or started but not served before their deadline.
    pub wasted: u32,
}

impl ClassResult {
    /// Share of first attempts served before their deadline, in %.
    #[must_use]
    pub fn served_percent(&self) -> f64 {
        100.0 * f64::from(self.served_first_attempts) / f64::from(self.offered.max(1))
    }
}

/// Metrics of one run.
#[derive(Clone, Debug)]
pub struct RunResult {
    /// In the order of the scenario's classes.
    pub classes: Vec<ClassResult>,
    /// Work served during the pressure phase relative to what the target could do, in %.
    pub goodput_percent: f64,
    /// Calls served before their deadline relative to all calls offered, both by weight, in %.
    pub weighted_percent: f64,
    /// Time from the end of the pressure phase until as many calls are served as arrive; `None` if
    /// that never happens.
    pub throughput_recovery: Option<Duration>,
    /// Time from the end of the pressure phase until almost every first attempt is served; `None`
    /// if that never happens.
    pub full_recovery: Option<Duration>,
    /// Calls refused before the pressure phase.
    pub refused_before_pressure: u32,
    /// Maximum number of calls in flight.
    pub max_in_flight: u32,
}
