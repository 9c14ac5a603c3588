use {
    super::{ClassDemand, LoadScenario},
    banyantrestle::{
        admission::AdmissionRequest,
        context::{CallPriority, RequestId},
        time::TimePoint,
    },
    rand::{Rng, RngExt},
    std::time::Duration,
};

/// Share of the mean service time that every call of a class needs; the rest is exponential.
const FIXED_WORK_RATIO: f64 = 0.5;

/// One attempt of a call.
#[derive(Clone, Copy, Debug)]
pub struct ModelCall {
    /// Index of its class in the scenario.
    pub class: usize,
    pub request: AdmissionRequest,
    pub offered_at: TimePoint,
    /// Service time on an unloaded target.
    pub work: Duration,
    /// Attempts of the call before this one.
    pub previous_attempts: u32,
}

/// Generates calls at random times.
#[derive(Clone, Copy, Debug)]
pub struct CallSource<'a> {
    scenario: &'a LoadScenario,
}

impl<'a> CallSource<'a> {
    #[must_use]
    pub fn new(scenario: &'a LoadScenario) -> Self {
        Self { scenario }
    }

    /// Time of the next arrival of `class` after `now`; `None` if the scenario ends before it.
    pub fn next_arrival<R: Rng>(
        &self,
        now: TimePoint,
        class: usize,
        rng: &mut R,
    ) -> Option<TimePoint> {
        let class = &self.scenario.classes[class];
        let capacity = f64::from(self.scenario.capacity);
        let rate = class.capacity_share * capacity / class.work.as_secs_f64();
        self.scenario.arrival_after(now, rate, exponential(rng))
    }

    /// First attempt of a new call of the class at `index`.
    pub fn new_call<R: Rng>(&self, now: TimePoint, index: usize, rng: &mut R) -> ModelCall {
        let class = &self.scenario.classes[index];
        let request = RequestId::from_u128(rng.random());
        ModelCall {
            class: index,
            request: AdmissionRequest {
                priority: CallPriority::new(class.rank, request),
                depth: class.depth,
                deadline: now + class.deadline,
            },
            offered_at: now,
            work: work_of(class, rng),
            previous_attempts: 0,
        }
    }

    /// Next attempt of a call, with a new deadline.
    #[must_use]
    pub fn retry(&self, now: TimePoint, call: &ModelCall) -> ModelCall {
        let deadline = now + self.scenario.classes[call.class].deadline;
        ModelCall {
            request: AdmissionRequest {
                deadline,
                ..call.request
            },
            offered_at: now,
            previous_attempts: call.previous_attempts + 1,
            ..*call
        }
    }
}

fn work_of<R: Rng>(class: &ClassDemand, rng: &mut R) -> Duration {
    let factor = FIXED_WORK_RATIO + (1.0 - FIXED_WORK_RATIO) * exponential(rng);
    class.work.mul_f64(factor)
}

fn exponential<R: Rng>(rng: &mut R) -> f64 {
    let uniform: f64 = rng.random();
    -(1.0 - uniform).ln()
}
