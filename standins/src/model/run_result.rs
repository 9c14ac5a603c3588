use std::time::Duration;

/// What became of the calls of one class while the pressure lasted.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClassResult {
    /// First tries.
    pub offered: u32,
    /// First tries that were answered in time.
    pub served_first_attempts: u32,
    /// Answered in time, whichever try.
    pub served_attempts: u32,
    pub refused: u32,
    /// Started, and not answered in time.
    pub wasted: u32,
}

impl ClassResult {
    /// First tries answered in time, in %.
    #[must_use]
    pub fn served_percent(&self) -> f64 {
        100.0 * f64::from(self.served_first_attempts) / f64::from(self.offered.max(1))
    }
}

/// Figures of one run.
#[derive(Clone, Debug)]
pub struct RunResult {
    /// In the order of the scenario's classes.
    pub classes: Vec<ClassResult>,
    /// Work answered in time while the pressure lasted, against what the target could do, in %.
    pub goodput_percent: f64,
    /// Calls answered in time by weight, against all that were offered, in %.
    pub weighted_percent: f64,
    /// From the end of the pressure until there are as many answers as new calls; `None` if never.
    pub throughput_recovery: Option<Duration>,
    /// From the end of the pressure until every first try is served; `None` if never.
    pub full_recovery: Option<Duration>,
    /// Calls refused before the pressure began.
    pub refused_before_pressure: u32,
    /// Running calls at most.
    pub max_in_flight: u32,
}
