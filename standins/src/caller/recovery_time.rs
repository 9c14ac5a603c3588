use {
    super::{CallerReport, SeriesBucket},
    std::time::Duration,
};

/// Step of the time series.
pub const SERIES_STEP: Duration = Duration::from_millis(100);

const WINDOW_STEPS: usize = 5;
const HEALTHY_PERCENT: u32 = 95;

impl CallerReport {
    /// Time from `pressure_end` to the last window in which too few requests were whole at once.
    ///
    /// Both times count from the start of the fleet. `None` if the last window, which ends at
    /// `until`, is still unhealthy.
    #[must_use]
    pub fn recovery_time(&self, pressure_end: Duration, until: Duration) -> Option<Duration> {
        let start = step_of(pressure_end);
        let end = step_of(until).min(self.series.len());
        let windows = self.series.get(start..end)?.windows(WINDOW_STEPS);
        let count = windows.len();
        let unhealthy = windows.into_iter().rposition(|window| !is_healthy(window));
        match unhealthy {
            None => Some(Duration::ZERO),
            Some(last) if last + 1 == count => None,
            Some(last) => Some(SERIES_STEP * u32::try_from(last + 1).unwrap_or(u32::MAX)),
        }
    }

    /// Whole answers to the requests that arrived between two times.
    #[must_use]
    pub fn whole_between(&self, from: Duration, until: Duration) -> u64 {
        let end = step_of(until).min(self.series.len());
        let buckets = self.series.get(step_of(from)..end).unwrap_or_default();
        buckets.iter().map(|bucket| u64::from(bucket.whole)).sum()
    }
}

fn step_of(time: Duration) -> usize {
    usize::try_from(time.as_millis() / SERIES_STEP.as_millis()).unwrap_or(usize::MAX)
}

fn is_healthy(window: &[SeriesBucket]) -> bool {
    let offered: u32 = window.iter().map(|bucket| bucket.offered).sum();
    let at_once: u32 = window.iter().map(|bucket| bucket.at_once).sum();
    at_once * 100 >= offered * HEALTHY_PERCENT
}
