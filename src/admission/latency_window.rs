use {
    super::{CompletionKind, LimitUsage, ServiceSample, rank_table::RankTable},
    crate::time::TimePoint,
    std::time::Duration,
};

/// Minimum age at which a window closes.
const MIN_WINDOW: Duration = Duration::from_millis(50);
/// Age at which a window closes with fewer samples than required.
const MAX_WINDOW: Duration = Duration::from_secs(2);
/// Minimum number of samples of a window that closes at [`MAX_WINDOW`].
const MIN_EXPIRED_SAMPLES: u32 = 16;
/// Number of samples over which the initial baseline of a class is averaged.
const INITIAL_BASELINE_SAMPLES: f64 = 32.0;
/// Minimum weight of the mean of a window in a baseline after the initial average; windows with few
/// samples have less.
const BASELINE_GAIN: f64 = 0.2;
/// Assumed relative standard deviation of one latency in its class.
const RELATIVE_DEVIATION: f64 = 0.5;
/// Standard errors by which a mean differs significantly from the baseline.
const SIGNIFICANT_STANDARD_ERRORS: f64 = 2.0;

/// Latency in the target relative to the baseline of each class, over one window.
///
/// Classes differ in their service time, so each has its own baseline; otherwise a change in the
/// mix of classes would look like a slowdown of the target.
#[derive(Clone, Debug)]
pub(super) struct LatencyWindow {
    started_at: TimePoint,
    ranks: RankTable<RankLatency>,
    samples: u32,
    /// Total latency of calls that failed or were cancelled, in seconds.
    failed_seconds: f64,
    ticks: u32,
    /// Ticks at which as many calls ran as the limit allows, or calls were queued.
    saturated_ticks: u32,
    max_in_flight: u32,
    /// Sum of the calls in flight over the ticks.
    total_in_flight: u32,
}

/// How much of the limit was in use during a window.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum WindowUsage {
    /// At most half of the limit at all ticks.
    Low,
    /// More than half of the limit at some tick.
    Partial,
    /// All of the limit at some tick.
    Full,
}

#[derive(Clone, Copy, Debug, Default)]
struct RankLatency {
    /// Zero until it is known.
    baseline_seconds: f64,
    /// Samples in the initial average of the baseline.
    baseline_samples: f64,
    /// Sum of the latencies of successful calls in the window.
    total_seconds: f64,
    /// Successful calls in the window.
    successes: u32,
}

impl RankLatency {
    /// Moves the baseline toward the mean of the window. After the initial average it rises only
    /// while few calls are in flight, since contention among many calls also raises the mean.
    fn update_baseline(&mut self, usage: WindowUsage) {
        if self.successes == 0 {
            return;
        }
        let count = f64::from(self.successes);
        let mean = self.total_seconds / count;
        let is_contended = usage == WindowUsage::Full && self.is_significantly_higher(mean, count);
        if self.baseline_samples < INITIAL_BASELINE_SAMPLES && !is_contended {
            self.baseline_samples += count;
            self.baseline_seconds += (mean - self.baseline_seconds) * count / self.baseline_samples;
        } else if usage == WindowUsage::Low || self.is_significantly_lower(mean, count) {
            let gain = BASELINE_GAIN.max(1.0 - mean / self.baseline_seconds);
            self.baseline_seconds +=
                (mean - self.baseline_seconds) * gain * (count / INITIAL_BASELINE_SAMPLES).min(1.0);
        }
    }

    fn is_significantly_higher(&self, mean: f64, count: f64) -> bool {
        let standard_error = RELATIVE_DEVIATION / count.sqrt();
        self.baseline_seconds > 0.0
            && mean > self.baseline_seconds * (1.0 + SIGNIFICANT_STANDARD_ERRORS * standard_error)
    }

    fn is_significantly_lower(&self, mean: f64, count: f64) -> bool {
        let standard_error = RELATIVE_DEVIATION / count.sqrt();
        mean < self.baseline_seconds * (1.0 - SIGNIFICANT_STANDARD_ERRORS * standard_error)
    }
}

/// Result of one window.
#[derive(Clone, Copy, Debug)]
pub(super) struct WindowSummary {
    /// Latency per successful call relative to the baseline.
    pub(super) slowdown: f64,
    pub(super) usage: WindowUsage,
    pub(super) samples: u32,
    /// Average number of calls in flight.
    pub(super) in_flight: f64,
}

impl WindowSummary {
    /// Standard error of the slowdown.
    pub(super) fn standard_error(&self) -> f64 {
        RELATIVE_DEVIATION / f64::from(self.samples.max(1)).sqrt()
    }
}

impl LatencyWindow {
    pub(super) fn new(now: TimePoint) -> Self {
        Self {
            started_at: now,
            ranks: RankTable::default(),
            samples: 0,
            failed_seconds: 0.0,
            ticks: 0,
            saturated_ticks: 0,
            max_in_flight: 0,
            total_in_flight: 0,
        }
    }

    /// Records a call; one that started before the window is ignored.
    pub(super) fn observe(&mut self, sample: &ServiceSample) {
        if sample.started_at < self.started_at {
            return;
        }
        let seconds = sample.latency().as_secs_f64();
        self.samples += 1;
        if sample.kind == CompletionKind::Success {
            let latency = self.ranks.row_mut(sample.rank);
            latency.total_seconds += seconds;
            latency.successes += 1;
        } else {
            self.failed_seconds += seconds;
        }
    }

    pub(super) fn record_usage(&mut self, usage: LimitUsage, limit: u32) {
        self.ticks += 1;
        self.max_in_flight = self.max_in_flight.max(usage.in_flight);
        self.total_in_flight = self.total_in_flight.saturating_add(usage.in_flight);
        if usage.queued > 0 || usage.in_flight >= limit {
            self.saturated_ticks += 1;
        }
    }

    /// Closes the window once it contains `min_samples` samples or has expired. Returns `None` if
    /// the window stays open, or if no class with a baseline had a successful call.
    pub(super) fn close(
        &mut self,
        now: TimePoint,
        limit: u32,
        min_samples: u32,
    ) -> Option<WindowSummary> {
        let age = now.since(self.started_at);
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
        self.started_at = now;
        self.samples = 0;
        self.failed_seconds = 0.0;
        self.ticks = 0;
        self.saturated_ticks = 0;
        self.max_in_flight = 0;
        self.total_in_flight = 0;
        for latency in self.ranks.values_mut() {
            latency.total_seconds = 0.0;
            latency.successes = 0;
        }
    }

    fn usage(&self, limit: u32) -> WindowUsage {
        if self.saturated_ticks > 0 {
            WindowUsage::Full
        } else if self.max_in_flight > limit / 2 {
            WindowUsage::Partial
        } else {
            WindowUsage::Low
        }
    }

    fn update_baselines(&mut self, usage: WindowUsage) {
        for latency in self.ranks.values_mut() {
            latency.update_baseline(usage);
        }
    }

    fn slowdown(&self) -> Option<f64> {
        let mut baseline_seconds = 0.0;
        let mut seconds = self.failed_seconds;
        for (_, latency) in self.ranks.iter() {
            if latency.baseline_seconds > 0.0 {
                baseline_seconds += latency.baseline_seconds * f64::from(latency.successes);
                seconds += latency.total_seconds;
            }
        }
        (baseline_seconds > 0.0).then(|| seconds / baseline_seconds)
    }
}
