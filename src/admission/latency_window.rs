use {
    super::{CompletionKind, LimitUse, ServiceSample, rank_table::RankTable},
    crate::time::TimePoint,
    std::time::Duration,
};

const MIN_WINDOW: Duration = Duration::from_millis(50);
const MAX_WINDOW: Duration = Duration::from_secs(2);
/// Samples without which a window stays open.
const MIN_EXPIRED_SAMPLES: u32 = 16;
/// Samples over which the first floor of a class is averaged.
const INITIAL_BASELINE_SAMPLES: f64 = 32.0;
/// Weight of a new mean in a floor.
const BASELINE_GAIN: f64 = 0.2;
/// Relative deviation of one latency from the mean of its class, of which a lower mean must be
/// twice as far away.
const RELATIVE_DEVIATION: f64 = 0.5;

/// Time in the target against the floor of each class, over one window.
///
/// Classes differ in their service time, so each has a floor of its own, and a change of the mix
/// is not taken for a change of the target.
#[derive(Clone, Debug)]
pub(super) struct LatencyWindow {
    started: TimePoint,
    ranks: RankTable<RankLatency>,
    samples: u32,
    /// Time of calls that failed or were cancelled, in s.
    failed_seconds: f64,
    ticks: u32,
    /// Ticks at which all of the limit was in use.
    saturated_ticks: u32,
    max_in_flight: u32,
    /// Sum over the ticks.
    total_in_flight: u32,
}

/// How much of the limit was in use during a window.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum WindowUse {
    /// At most half of it.
    Low,
    Partial,
    /// All of it at some tick.
    Full,
}

#[derive(Clone, Copy, Debug, Default)]
struct RankLatency {
    /// In s; zero until it is known.
    baseline: f64,
    /// Samples that the first floor is averaged from.
    baseline_samples: f64,
    seconds: f64,
    successes: u32,
}

impl RankLatency {
    /// Only a target with few calls may raise a floor, or calls that crowd it would do so.
    fn update_baseline(&mut self, usage: WindowUse) {
        if self.successes == 0 {
            return;
        }
        let count = f64::from(self.successes);
        let mean = self.seconds / count;
        let is_contended = usage == WindowUse::Full && self.is_significantly_higher(mean, count);
        if self.baseline_samples < INITIAL_BASELINE_SAMPLES && !is_contended {
            self.baseline_samples += count;
            self.baseline += (mean - self.baseline) * count / self.baseline_samples;
        } else if usage == WindowUse::Low || self.is_significantly_lower(mean, count) {
            let gain = BASELINE_GAIN.max(1.0 - mean / self.baseline);
            self.baseline +=
                (mean - self.baseline) * gain * (count / INITIAL_BASELINE_SAMPLES).min(1.0);
        }
    }

    fn is_significantly_higher(&self, mean: f64, count: f64) -> bool {
        let deviation = RELATIVE_DEVIATION / count.sqrt();
        self.baseline > 0.0 && mean > self.baseline * (1.0 + 2.0 * deviation)
    }

    fn is_significantly_lower(&self, mean: f64, count: f64) -> bool {
        let deviation = RELATIVE_DEVIATION / count.sqrt();
        mean < self.baseline * (1.0 - 2.0 * deviation)
    }
}

/// What one window showed.
#[derive(Clone, Copy, Debug)]
pub(super) struct WindowSummary {
    /// Time in the target for each success, against the floor.
    pub(super) slowdown: f64,
    pub(super) usage: WindowUse,
    pub(super) samples: u32,
    /// Calls in flight on average.
    pub(super) in_flight: f64,
}

impl WindowSummary {
    /// Deviation of the slowdown that chance brings about.
    pub(super) fn deviation(&self) -> f64 {
        RELATIVE_DEVIATION / f64::from(self.samples.max(1)).sqrt()
    }
}

impl LatencyWindow {
    pub(super) fn new(now: TimePoint) -> Self {
        Self {
            started: now,
            ranks: RankTable::default(),
            samples: 0,
            failed_seconds: 0.0,
            ticks: 0,
            saturated_ticks: 0,
            max_in_flight: 0,
            total_in_flight: 0,
        }
    }

    /// A call that started before the window says nothing of it.
    pub(super) fn observe(&mut self, sample: &ServiceSample) {
        if sample.started < self.started {
            return;
        }
        let seconds = sample.latency().as_secs_f64();
        self.samples += 1;
        if sample.kind == CompletionKind::Success {
            let latency = self.ranks.row_mut(sample.rank);
            latency.seconds += seconds;
            latency.successes += 1;
        } else {
            self.failed_seconds += seconds;
        }
    }

    pub(super) fn record_use(&mut self, usage: LimitUse, limit: u32) {
        self.ticks += 1;
        self.max_in_flight = self.max_in_flight.max(usage.in_flight);
        self.total_in_flight = self.total_in_flight.saturating_add(usage.in_flight);
        if usage.queued > 0 || usage.in_flight >= limit {
            self.saturated_ticks += 1;
        }
    }

    /// Closes the window once it holds `whole` samples or is old; `None` too if no call succeeded.
    pub(super) fn close(
        &mut self,
        now: TimePoint,
        limit: u32,
        min_samples: u32,
    ) -> Option<WindowSummary> {
        let age = now.since(self.started);
        let is_complete = age >= MIN_WINDOW && self.samples >= min_samples;
        let is_expired = age >= MAX_WINDOW && self.samples >= MIN_EXPIRED_SAMPLES;
        if !is_complete && !is_expired {
            return None;
        }
        let usage = self.usage(limit);
        let in_flight = f64::from(self.total_in_flight) / f64::from(self.ticks.max(1));
        self.update_baselines(usage);
        let slowdown = self.slowdown();
        let samples = self.samples;
        self.restart(now);
        slowdown.map(|slowdown| WindowSummary {
            slowdown,
            usage,
            samples,
            in_flight,
        })
    }

    /// Starts a new window.
    pub(super) fn restart(&mut self, now: TimePoint) {
        self.started = now;
        self.samples = 0;
        self.failed_seconds = 0.0;
        self.ticks = 0;
        self.saturated_ticks = 0;
        self.max_in_flight = 0;
        self.total_in_flight = 0;
        for latency in self.ranks.values_mut() {
            latency.seconds = 0.0;
            latency.successes = 0;
        }
    }

    fn usage(&self, limit: u32) -> WindowUse {
        if self.saturated_ticks > 0 {
            WindowUse::Full
        } else if self.max_in_flight > limit / 2 {
            WindowUse::Partial
        } else {
            WindowUse::Low
        }
    }

    fn update_baselines(&mut self, usage: WindowUse) {
        for latency in self.ranks.values_mut() {
            latency.update_baseline(usage);
        }
    }

    fn slowdown(&self) -> Option<f64> {
        let mut baseline_seconds = 0.0;
        let mut seconds = self.failed_seconds;
        for (_, latency) in self.ranks.iter() {
            if latency.baseline > 0.0 {
                baseline_seconds += latency.baseline * f64::from(latency.successes);
                seconds += latency.seconds;
            }
        }
        (baseline_seconds > 0.0).then(|| seconds / baseline_seconds)
    }
}
