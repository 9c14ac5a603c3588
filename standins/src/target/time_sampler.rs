use {
    super::{TargetSettings, TimeDistribution},
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::{
        sync::{Mutex, PoisonError},
        time::{Duration, Instant},
    },
};

/// Samples the service times of a target.
#[derive(Debug)]
pub struct TimeSampler {
    started: Instant,
    random: Mutex<SmallRng>,
}

impl TimeSampler {
    pub fn new(seed: u64) -> Self {
        Self {
            started: Instant::now(),
            random: Mutex::new(SmallRng::seed_from_u64(seed)),
        }
    }

    /// Samples the service time of a call that starts while `waiting` others wait; `factor`
    /// multiplies it.
    pub fn sample(&self, settings: &TargetSettings, factor: f64, waiting: u32) -> Duration {
        let ratio = self.sample_ratio(settings.time_distribution);
        let waiting_per_slot = f64::from(waiting) / f64::from(settings.slots.max(1));
        let contention = 1.0 + settings.contention * waiting_per_slot;
        let cold_factor = self.cold_factor(settings);
        settings
            .mean_service_time
            .mul_f64(ratio * factor * contention * cold_factor)
    }

    fn sample_ratio(&self, distribution: TimeDistribution) -> f64 {
        let mut random = self.random.lock().unwrap_or_else(PoisonError::into_inner);
        let draw: f64 = random.random();
        match distribution {
            TimeDistribution::Fixed => 1.0,
            TimeDistribution::Uniform => 0.5 + draw,
            TimeDistribution::Exponential => -(1.0 - draw).ln(),
        }
    }

    fn cold_factor(&self, settings: &TargetSettings) -> f64 {
        if self.started.elapsed() < settings.cold_start {
            settings.cold_factor
        } else {
            1.0
        }
    }
}
