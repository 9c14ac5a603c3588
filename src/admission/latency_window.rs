use {
    super::{CompletionKind, LimitUse, ServiceSample, rank_table::RankTable},
    crate::time::TimePoint,
    std::time::Duration,
};

const MIN_WINDOW: Duration = Duration::from_millis(50);
const MAX_WINDOW: Duration = Duration::from_secs(2);
/// Samples without which a window stays open.
const MIN_SAMPLES: u32 = 16;
/// Samples over which the first floor of a class is averaged.
const FIRST_SAMPLES: f64 = 32.0;
/// Weight of a new mean in a floor.
const FLOOR_GAIN: f64 = 0.2;
/// Relative deviation of one latency from the mean of its class, of which a lower mean must be
/// twice as far away.
const LATENCY_SPREAD: f64 = 0.5;

/// Time in the target against the floor of each class, over one window.
///
/// Classes differ in their service time, so each has a floor of its own, and a change of the mix
/// is not taken for a change of the target.
#[derive(Clone, Debug)]
pub(super) struct LatencyWindow {
    opened: TimePoint,
    ranks: RankTable<RankLatency>,
    samples: u32,
    /// Time of calls that failed or were cancelled, in s.
    lost_seconds: f64,
    ticks: u32,
    /// Ticks at which all of the limit was in use.
    full_ticks: u32,
    most_in_flight: u32,
    /// Sum over the ticks.
    in_flight: u32,
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
    floor: f64,
    /// Samples that the first floor is averaged from.
    learned: f64,
    seconds: f64,
    successes: u32,
}

impl RankLatency {
    /// Only a target with few calls may raise a floor, or calls that crowd it would do so.
    fn learn(&mut self, usage: WindowUse) {
        if self.successes == 0 {
            return;
        }
        let count = f64::from(self.successes);
        let mean = self.seconds / count;
        let is_crowded = usage == WindowUse::Full && self.is_plainly_higher(mean, count);
        if self.learned < FIRST_SAMPLES && !is_crowded {
            self.learned += count;
            self.floor += (mean - self.floor) * count / self.learned;
        } else if usage == WindowUse::Low || self.is_plainly_lower(mean, count) {
            let gain = FLOOR_GAIN.max(1.0 - mean / self.floor);
            self.floor += (mean - self.floor) * gain * (count / FIRST_SAMPLES).min(1.0);
        }
    }

    fn is_plainly_higher(&self, mean: f64, count: f64) -> bool {
        let deviation = LATENCY_SPREAD / count.sqrt();
        self.floor > 0.0 && mean > self.floor * (1.0 + 2.0 * deviation)
    }

    fn is_plainly_lower(&self, mean: f64, count: f64) -> bool {
        let deviation = LATENCY_SPREAD / count.sqrt();
        mean < self.floor * (1.0 - 2.0 * deviation)
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
        LATENCY_SPREAD / f64::from(self.samples.max(1)).sqrt()
    }
}

impl LatencyWindow {
    pub(super) fn new(now: TimePoint) -> Self {
        Self {
            opened: now,
            ranks: RankTable::default(),
            samples: 0,
            lost_seconds: 0.0,
            ticks: 0,
            full_ticks: 0,
            most_in_flight: 0,
            in_flight: 0,
        }
    }

    /// A call that started before the window says nothing of it.
    pub(super) fn observe(&mut self, sample: &ServiceSample) {
        if sample.started < self.opened {
            return;
        }
        let seconds = sample.latency().as_secs_f64();
        self.samples += 1;
        if sample.kind == CompletionKind::Success {
            let latency = self.ranks.row_mut(sample.rank);
            latency.seconds += seconds;
            latency.successes += 1;
        } else {
            self.lost_seconds += seconds;
        }
    }

    pub(super) fn note_use(&mut self, usage: LimitUse, limit: u32) {
        self.ticks += 1;
        self.most_in_flight = self.most_in_flight.max(usage.in_flight);
        self.in_flight = self.in_flight.saturating_add(usage.in_flight);
        if usage.queued > 0 || usage.in_flight >= limit {
            self.full_ticks += 1;
        }
    }

    /// Closes the window once it holds `whole` samples or is old; `None` too if no call succeeded.
    pub(super) fn close(
        &mut self,
        now: TimePoint,
        limit: u32,
        whole: u32,
    ) -> Option<WindowSummary> {
        let age = now.since(self.opened);
        let is_whole = age >= MIN_WINDOW && self.samples >= whole;
        let is_old = age >= MAX_WINDOW && self.samples >= MIN_SAMPLES;
        if !is_whole && !is_old {
            return None;
        }
        let usage = self.usage(limit);
        let in_flight = f64::from(self.in_flight) / f64::from(self.ticks.max(1));
        self.learn_floors(usage);
        let slowdown = self.slowdown();
        let samples = self.samples;
        self.open(now);
        slowdown.map(|slowdown| WindowSummary {
            slowdown,
            usage,
            samples,
            in_flight,
        })
    }

    /// Starts a new window.
    pub(super) fn open(&mut self, now: TimePoint) {
        self.opened = now;
        self.samples = 0;
        self.lost_seconds = 0.0;
        self.ticks = 0;
        self.full_ticks = 0;
        self.most_in_flight = 0;
        self.in_flight = 0;
        for latency in self.ranks.values_mut() {
            latency.seconds = 0.0;
            latency.successes = 0;
        }
    }

    fn usage(&self, limit: u32) -> WindowUse {
        if self.full_ticks > 0 {
            WindowUse::Full
        } else if self.most_in_flight > limit / 2 {
            WindowUse::Partial
        } else {
            WindowUse::Low
        }
    }

    fn learn_floors(&mut self, usage: WindowUse) {
        for latency in self.ranks.values_mut() {
            latency.learn(usage);
        }
    }

    fn slowdown(&self) -> Option<f64> {
        let mut floor_seconds = 0.0;
        let mut seconds = self.lost_seconds;
        for (_, latency) in self.ranks.iter() {
            if latency.floor > 0.0 {
                floor_seconds += latency.floor * f64::from(latency.successes);
                seconds += latency.seconds;
            }
        }
        (floor_seconds > 0.0).then(|| seconds / floor_seconds)
    }
}
