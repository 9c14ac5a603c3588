use {
    super::ClassDemand,
    banyantrestle::time::TimePoint,
    std::{ops::Range, time::Duration},
};

/// Conditions during one phase of a scenario.
#[derive(Clone, Debug)]
pub struct ScenarioPhase {
    pub length: Duration,
    /// Offered work relative to the capacity of the warm target.
    pub demand: f64,
    /// Factor by which dependencies of the target slow down each call.
    pub slowdown: f64,
    /// Share of its capacity that the target has at the start and at the end of the phase.
    pub available_capacity: Range<f64>,
    /// Utilization that the target reports regardless of its load, in %; `None` for no reports.
    pub reported_utilization_percent: Option<u32>,
}

impl ScenarioPhase {
    /// A warm target with an offered work of `demand` times its capacity.
    #[must_use]
    pub fn new(length: Duration, demand: f64) -> Self {
        Self {
            length,
            demand,
            slowdown: 1.0,
            available_capacity: 1.0..1.0,
            reported_utilization_percent: None,
        }
    }
}

/// Load and faults of one target over several phases.
#[derive(Clone, Debug)]
pub struct LoadScenario {
    pub name: &'static str,
    pub classes: Vec<ClassDemand>,
    /// Calls that the target can run at the same time at full speed.
    pub capacity: u32,
    /// Slots that the target announces.
    pub announced_slots: u32,
    /// Relative growth of the work per call for each multiple of `capacity` by which the running
    /// calls exceed it; see [`ServiceModel`](super::ServiceModel).
    pub excess_slowdown: f64,
    pub phases: Vec<ScenarioPhase>,
    /// Index of the phase with the overload or fault.
    pub pressure_phase: usize,
    /// Share of refused callers that ignore the time in `Retry-After` and retry after a fixed delay.
    pub eager_retry_ratio: f64,
}

impl LoadScenario {
    #[must_use]
    pub fn length(&self) -> Duration {
        self.phases.iter().map(|phase| phase.length).sum()
    }

    /// Start and end of the pressure phase.
    #[must_use]
    pub fn pressure_span(&self) -> Range<TimePoint> {
        let earlier = self.phases[..self.pressure_phase].iter();
        let start = TimePoint::ORIGIN + earlier.map(|phase| phase.length).sum();
        start..start + self.phases[self.pressure_phase].length
    }

    /// Time of the next arrival after `now` at `rate` arrivals per second at demand 1, where
    /// `calls` is an exponential variate of mean 1; `None` if the scenario ends before it.
    #[must_use]
    pub fn arrival_after(&self, now: TimePoint, rate: f64, mut calls: f64) -> Option<TimePoint> {
        let mut start = TimePoint::ORIGIN;
        for phase in &self.phases {
            let phase_end = start + phase.length;
            let from = start.max(now);
            let possible = phase.demand * rate * from.until(phase_end).as_secs_f64();
            if calls < possible {
                let wait = calls / (phase.demand * rate);
                return Some(from + Duration::from_secs_f64(wait));
            }
            calls -= possible;
            start = phase_end;
        }
        None
    }

    /// The phase at `now` and the share of it that has passed; `None` after the last phase.
    #[must_use]
    pub fn phase_at(&self, now: TimePoint) -> Option<(&ScenarioPhase, f64)> {
        let mut start = TimePoint::ORIGIN;
        for phase in &self.phases {
            let phase_end = start + phase.length;
            if now < phase_end {
                let passed = now.since(start).as_secs_f64() / phase.length.as_secs_f64();
                return Some((phase, passed));
            }
            start = phase_end;
        }
        None
    }
}
