use {
    super::{ServiceTime, TargetSettings},
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::{
        sync::{Mutex, PoisonError},
        time::{Duration, Instant},
    },
};

/// Draws service times.
#[derive(Debug)]
pub struct ServiceClock {
    started: Instant,
    random: Mutex<SmallRng>,
}

impl ServiceClock {
    pub fn new(seed: u64) -> Self {
        Self {
            started: Instant::now(),
            random: Mutex::new(SmallRng::seed_from_u64(seed)),
        }
    }

    /// Service time of a call that starts while `waiting` others wait.
    pub fn draw(&self, settings: &TargetSettings, factor: f64, waiting: u32) -> Duration {
        let share = self.draw_share(settings.service_time);
        let crowd = f64::from(waiting) / f64::from(settings.slots.max(1));
        let crowding = 1.0 + settings.crowding * crowd;
        let cold = self.cold_factor(settings);
        settings
            .service_mean
            .mul_f64(share * factor * crowding * cold)
    }

    fn draw_share(&self, time: ServiceTime) -> f64 {
        let mut random = self.random.lock().unwrap_or_else(PoisonError::into_inner);
        let draw: f64 = random.random();
        match time {
            ServiceTime::Fixed => 1.0,
            ServiceTime::Uniform => 0.5 + draw,
            ServiceTime::Exponential => -(1.0 - draw).ln(),
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
