use {
    crate::time::TimePoint,
    std::{
        collections::{BTreeMap, HashMap},
        mem,
        time::Duration,
    },
};

/// Time for which a duration counts at least; it counts for twice that at most.
const WINDOW: Duration = Duration::from_secs(10);
/// Factor by which a request may take longer than recent ones of its route.
const MARGIN: f64 = 1.5;
/// Factor by which it may take longer than others have been running so far.
const RUNNING_MARGIN: f64 = 2.0;
/// Longest durations that are kept for a window.
const KEPT_DURATIONS: usize = 8;
/// One in so many recent requests is taken for an outlier, and one in so many running ones.
const ENDED_PER_OUTLIER: usize = 100;
const RUNNING_PER_OUTLIER: usize = 10;

/// Durations of the requests that ended in a window.
#[derive(Clone, Debug, Default)]
struct EndedDurations {
    count: usize,
    /// The longest ones, in descending order.
    longest: Vec<Duration>,
}

impl EndedDurations {
    fn record(&mut self, duration: Duration) {
        self.count += 1;
        self.insert(duration);
    }

    fn insert(&mut self, duration: Duration) {
        let index = self.longest.partition_point(|other| *other >= duration);
        if index < KEPT_DURATIONS {
            self.longest.truncate(KEPT_DURATIONS - 1);
            self.longest.insert(index, duration);
        }
    }

    fn merged(mut self, other: &Self) -> Self {
        self.count += other.count;
        for duration in &other.longest {
            self.insert(*duration);
        }
        self
    }

    /// The longest duration that is no outlier.
    fn upper(&self) -> Option<Duration> {
        let outliers = self.count / ENDED_PER_OUTLIER;
        let index = outliers.min(KEPT_DURATIONS - 1);
        self.longest.get(index).copied()
    }
}

/// Requests of one route.
#[derive(Clone, Debug, Default)]
struct RouteTimes {
    current: EndedDurations,
    previous: EndedDurations,
    /// Number of running requests by their start.
    running: BTreeMap<TimePoint, usize>,
}

impl RouteTimes {
    /// Start of the oldest running request that is no outlier.
    fn oldest_start(&self) -> Option<TimePoint> {
        let count: usize = self.running.values().sum();
        let mut outliers = count / RUNNING_PER_OUTLIER;
        let mut starts = self.running.iter();
        let (start, _) = starts.find(|(_, count)| {
            let is_outlier = **count <= outliers;
            outliers = outliers.saturating_sub(**count);
            !is_outlier
        })?;
        Some(*start)
    }
}

/// Times that requests of each route take.
#[derive(Debug, Default)]
pub struct RouteDurations {
    routes: HashMap<String, RouteTimes>,
    window_start: TimePoint,
}

impl RouteDurations {
    /// Counts a request as running from `now` on, until [`Self::remove_running`].
    pub fn add_running(&mut self, now: TimePoint, route: &str) {
        self.advance(now);
        *self.times(route).running.entry(now).or_default() += 1;
    }

    /// Removes a running request that began at `started_at`.
    pub fn remove_running(&mut self, route: &str, started_at: TimePoint) {
        let Some(times) = self.routes.get_mut(route) else {
            return;
        };
        if let Some(count) = times.running.get_mut(&started_at) {
            *count -= 1;
            if *count == 0 {
                times.running.remove(&started_at);
            }
        }
    }

    /// Records that a request has taken `duration` from its first attempt to its end.
    pub fn record(&mut self, now: TimePoint, route: &str, duration: Duration) {
        self.advance(now);
        self.times(route).current.record(duration);
    }

    /// Time that a request of the route may take, by recent ones and by those that are running;
    /// `None` if none has ended recently.
    pub fn expected(&mut self, now: TimePoint, route: &str) -> Option<Duration> {
        self.advance(now);
        let times = self.routes.get(route)?;
        let ended = times.current.clone().merged(&times.previous);
        let by_ended = ended.upper()?.mul_f64(MARGIN);
        let age = times.oldest_start().map(|start| now.since(start));
        let by_running = age.unwrap_or_default().mul_f64(RUNNING_MARGIN);
        Some(by_ended.max(by_running))
    }

    fn times(&mut self, route: &str) -> &mut RouteTimes {
        self.routes.entry(route.into()).or_default()
    }

    fn advance(&mut self, now: TimePoint) {
        let elapsed = now.since(self.window_start);
        if elapsed < WINDOW {
            return;
        }
        self.window_start = now;
        let is_recent = elapsed < WINDOW * 2;
        self.routes.retain(|_, times| {
            let current = mem::take(&mut times.current);
            times.previous = if is_recent {
                current
            } else {
                EndedDurations::default()
            };
            times.previous.count > 0 || !times.running.is_empty()
        });
    }
}
