use {
    super::{CompletionKind, ServiceSample, rank_table::RankTable},
    crate::time::TimePoint,
    std::time::Duration,
};

const MIN_WINDOW: Duration = Duration::from_millis(50);
const MAX_WINDOW: Duration = Duration::from_secs(1);
/// Samples that close a window early.
const WHOLE_SAMPLES: u32 = 32;
/// Samples of a class from which its floor is learned.
const MIN_RANK_SAMPLES: u32 = 8;
/// Weight of a lower mean in the floor.
const FLOOR_GAIN: f64 = 0.5;

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
    is_saturated: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct RankLatency {
    /// In s; zero until it is known.
    floor: f64,
    seconds: f64,
    successes: u32,
}

/// What one window showed.
#[derive(Clone, Copy, Debug)]
pub(super) struct WindowSummary {
    /// Time in the target for each success, against the floor.
    pub(super) slowdown: f64,
    /// The whole limit was in use at some tick.
    pub(super) is_saturated: bool,
}

impl LatencyWindow {
    pub(super) fn new(now: TimePoint) -> Self {
        Self {
            opened: now,
            ranks: RankTable::default(),
            samples: 0,
            lost_seconds: 0.0,
            is_saturated: false,
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

    pub(super) fn note_saturated(&mut self) {
        self.is_saturated = true;
    }

    /// Closes the window once it holds enough; `None` too if nothing in it succeeded.
    pub(super) fn close(&mut self, now: TimePoint) -> Option<WindowSummary> {
        let age = now.since(self.opened);
        let is_whole = age >= MIN_WINDOW && self.samples >= WHOLE_SAMPLES;
        if !is_whole && age < MAX_WINDOW {
            return None;
        }
        self.learn_floors();
        let slowdown = self.slowdown();
        let is_saturated = self.is_saturated;
        self.open(now);
        slowdown.map(|slowdown| WindowSummary {
            slowdown,
            is_saturated,
        })
    }

    /// Starts a new window.
    pub(super) fn open(&mut self, now: TimePoint) {
        self.opened = now;
        self.samples = 0;
        self.lost_seconds = 0.0;
        self.is_saturated = false;
        for latency in self.ranks.values_mut() {
            latency.seconds = 0.0;
            latency.successes = 0;
        }
    }

    /// Raises all floors: what has slowed the target is not the number of its calls.
    pub(super) fn raise_floors(&mut self, factor: f64) {
        for latency in self.ranks.values_mut() {
            latency.floor *= factor;
        }
    }

    fn learn_floors(&mut self) {
        for latency in self.ranks.values_mut() {
            if latency.successes >= MIN_RANK_SAMPLES {
                let mean = latency.seconds / f64::from(latency.successes);
                if latency.floor <= 0.0 {
                    latency.floor = mean;
                } else if mean < latency.floor {
                    latency.floor += FLOOR_GAIN * (mean - latency.floor);
                }
            }
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
