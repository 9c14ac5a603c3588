use {
    super::{CallerReport, ClassReport, SeriesBucket},
    std::time::Duration,
};

/// Step of the time series.
pub const SERIES_STEP: Duration = Duration::from_millis(100);

/// Steps of the sliding window over which health is evaluated.
const WINDOW_STEPS: usize = 5;
/// Least share of requests that succeed at the first attempt in a healthy window, in %.
const HEALTHY_SUCCESS_PERCENT: u32 = 95;

/// A span of a run; both limits are relative to the start of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunSpan {
    pub from: Duration,
    pub until: Duration,
}

impl RunSpan {
    #[must_use]
    pub fn length(&self) -> Duration {
        self.until.saturating_sub(self.from)
    }

    fn steps(self) -> std::ops::Range<usize> {
        step_of(self.from)..step_of(self.until)
    }
}

impl ClassReport {
    /// Sum of the counts of all steps of a span.
    #[must_use]
    pub fn sum_during(&self, span: RunSpan) -> SeriesBucket {
        let mut sum = SeriesBucket::default();
        for step in span.steps() {
            sum.add(self.series.0.get(step));
        }
        sum
    }
}

impl SeriesBucket {
    fn add(&mut self, other: Option<&Self>) {
        let other = other.copied().unwrap_or_default();
        self.offered += other.offered;
        self.succeeded_first += other.succeeded_first;
        self.succeeded += other.succeeded;
        self.completed += other.completed;
    }
}

impl CallerReport {
    /// Time from the start of a span until all its later windows are healthy; `None` if its last
    /// window is unhealthy. A window is healthy if enough requests succeed at the first attempt.
    /// Includes only the classes for which `select` returns true.
    #[must_use]
    pub fn recovery_time(
        &self,
        span: RunSpan,
        select: impl Fn(&ClassReport) -> bool,
    ) -> Option<Duration> {
        let buckets = self.sum_of_classes(span, select);
        let windows = buckets.windows(WINDOW_STEPS);
        let count = windows.len();
        let unhealthy = windows.into_iter().rposition(|window| !is_healthy(window));
        match unhealthy {
            None => Some(Duration::ZERO),
            Some(last) if last + 1 == count => None,
            Some(last) => Some(SERIES_STEP * u32::try_from(last + 1).unwrap_or(u32::MAX)),
        }
    }

    fn sum_of_classes(
        &self,
        span: RunSpan,
        select: impl Fn(&ClassReport) -> bool,
    ) -> Vec<SeriesBucket> {
        let mut buckets = vec![SeriesBucket::default(); span.steps().len()];
        for class in self.classes.iter().filter(|class| select(class)) {
            for (bucket, step) in buckets.iter_mut().zip(span.steps()) {
                bucket.add(class.series.0.get(step));
            }
        }
        buckets
    }
}

fn step_of(time: Duration) -> usize {
    usize::try_from(time.as_millis() / SERIES_STEP.as_millis()).unwrap_or(usize::MAX)
}

fn is_healthy(window: &[SeriesBucket]) -> bool {
    let offered: u32 = window.iter().map(|bucket| bucket.offered).sum();
    let succeeded_first: u32 = window.iter().map(|bucket| bucket.succeeded_first).sum();
    succeeded_first * 100 >= offered * HEALTHY_SUCCESS_PERCENT
}
