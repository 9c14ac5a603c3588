use {
    crate::time::TimePoint,
    nix::time::{ClockId, clock_gettime},
    std::{
        sync::{Mutex, PoisonError},
        time::Duration,
    },
};

/// How far the process falls behind its timers, and the processor time that it uses.
///
/// A process whose share of the processor is used up runs all its tasks late, so the delay of a
/// periodic tick is the time that each wake-up waits.
#[derive(Debug)]
pub(crate) struct ProcessLoad {
    state: Mutex<LoadState>,
}

#[derive(Clone, Copy, Debug)]
struct LoadState {
    last_tick: TimePoint,
    max_delay: Duration,
    reported_at: TimePoint,
    reported_processor_time: Option<Duration>,
}

/// Load of the process since the last report.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoadSample {
    /// Longest delay of a tick.
    pub(crate) max_delay: Duration,
    /// Share of one core that the process has used; `None` if the kernel does not tell.
    pub(crate) processor_share: Option<f64>,
}

impl ProcessLoad {
    pub(crate) fn new(now: TimePoint) -> Self {
        Self {
            state: Mutex::new(LoadState {
                last_tick: now,
                max_delay: Duration::ZERO,
                reported_at: now,
                reported_processor_time: processor_time(),
            }),
        }
    }

    /// Records a tick that was due `interval` after the last one.
    pub(crate) fn tick(&self, now: TimePoint, interval: Duration) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let delay = now.since(state.last_tick).saturating_sub(interval);
        state.max_delay = state.max_delay.max(delay);
        state.last_tick = now;
    }

    /// Returns the load since the last sample.
    pub(crate) fn sample(&self, now: TimePoint) -> LoadSample {
        let processor_time = processor_time();
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let elapsed = now.since(state.reported_at);
        let used = processor_time
            .zip(state.reported_processor_time)
            .map(|(newest, reported)| newest.saturating_sub(reported));
        let used = used.filter(|_| !elapsed.is_zero());
        let sample = LoadSample {
            max_delay: state.max_delay,
            processor_share: used.map(|used| used.as_secs_f64() / elapsed.as_secs_f64()),
        };
        state.max_delay = Duration::ZERO;
        state.reported_at = now;
        state.reported_processor_time = processor_time;
        sample
    }
}

/// Processor time of the process; `None` if the kernel does not tell.
fn processor_time() -> Option<Duration> {
    let time = clock_gettime(ClockId::CLOCK_PROCESS_CPUTIME_ID);
    time.ok().map(Duration::from)
}
