use {
    super::ClassDemand,
    banyantrestle::time::TimePoint,
    std::{ops::Range, time::Duration},
};

/// Conditions that hold for a while.
#[derive(Clone, Debug)]
pub struct ScenarioPhase {
    pub length: Duration,
    /// Demand against the capacity of the warm target.
    pub demand: f64,
    /// Slowness of services further down.
    pub slowdown: f64,
    /// Part of its capacity that the target has at the start and the end of the phase.
    pub available_capacity: Range<f64>,
    /// Utilization that the target reports, in %, whatever it is.
    pub reported_utilization_percent: Option<u32>,
}

impl ScenarioPhase {
    /// A warm target that is asked for `demand` of its capacity.
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

/// What happens to one target.
#[derive(Clone, Debug)]
pub struct LoadScenario {
    pub name: &'static str,
    pub classes: Vec<ClassDemand>,
    /// Calls that the target runs at full speed.
    pub capacity: u32,
    /// Slots that it announces.
    pub announced_slots: u32,
    /// Part of the capacity that each call too many takes.
    pub thrash: f64,
    pub phases: Vec<ScenarioPhase>,
    /// Phase in which the pressure lies.
    pub pressure_phase: usize,
    /// Part of the refused callers that returns at once instead of when told.
    pub eager_retry_ratio: f64,
}

impl LoadScenario {
    #[must_use]
    pub fn length(&self) -> Duration {
        self.phases.iter().map(|phase| phase.length).sum()
    }

    /// Start and end of the pressure.
    #[must_use]
    pub fn pressure_span(&self) -> Range<TimePoint> {
        let earlier = self.phases[..self.pressure_phase].iter();
        let start = TimePoint::ORIGIN + earlier.map(|phase| phase.length).sum();
        start..start + self.phases[self.pressure_phase].length
    }

    /// When a caller calls next after `now` that makes `rate` calls a second at demand 1, if
    /// `calls` is an exponential variate of mean 1.
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

    /// The phase at `now` and the part of it that has passed.
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
