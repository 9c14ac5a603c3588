use {
    super::rank_rates::RankRates,
    crate::time::TimePoint,
    std::{collections::BTreeMap, time::Duration},
};

/// Limits of the retries that all targets of one service may receive.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Retries allowed per first attempt.
    pub ratio: f64,
    /// Length of the sliding window in which the limits hold.
    pub window: Duration,
    /// Retries allowed beyond the ratio, over all targets of a service.
    pub slack: f64,
}

impl Default for RetryLimits {
    fn default() -> Self {
        Self {
            ratio: 0.2,
            window: Duration::from_secs(10),
            slack: 10.0,
        }
    }
}

/// Number of buckets in one window.
const WINDOW_BUCKETS: usize = 10;
/// Buckets of the current and the previous window; the last one is being filled.
const TOTAL_BUCKETS: usize = 2 * WINDOW_BUCKETS + 1;
/// Windows without a call after which all buckets are cleared at once.
const MAX_IDLE_WINDOWS: u32 = 3;
/// Ages, in buckets, of the windows whose first attempts are counted; the largest count applies.
const WINDOW_BUCKET_OFFSETS: [usize; 3] = [0, WINDOW_BUCKETS / 2, WINDOW_BUCKETS];
/// Share of the limit that is used, as a margin because the windows of the targets are not aligned.
const USABLE_SHARE: f64 = 0.9;
/// Share of the limit that new retries may use; the rest is kept for calls below a retry that was
/// granted further up the chain.
const NEW_RETRY_SHARE: f64 = 0.9;
/// Time constant of the moving average of requested retries.
const REQUEST_TIME_CONSTANT: Duration = Duration::from_millis(500);
/// Weight of the newest report in the failure rate of the target.
const FAILURE_RATE_WEIGHT: f64 = 0.05;
/// Failure rate above which the expected number of retries per call no longer rises.
const MAX_FAILURE_RATE: f64 = 0.6;
/// Time constant of the moving average of first attempts.
const FIRST_ATTEMPT_TIME_CONSTANT: Duration = Duration::from_secs(2);

#[derive(Clone, Debug, Default)]
struct AttemptBucket {
    first_attempts: u32,
    /// Retries by rank.
    retries: BTreeMap<u8, u32>,
}

/// Request for one retry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryRequest {
    pub rank: u8,
    /// Whether the retry was begun by a call further up the chain.
    pub is_inherited: bool,
    /// Share of its calls that the target fails or refuses now.
    pub failure_rate: f64,
}

/// Limits the retries at one target against its first attempts, in a sliding window.
///
/// All attempts at a service pass the sidecars of its targets, so the limits that each sidecar
/// keeps add up to the limit of the service. While targets refuse a large share of their calls,
/// retries are scarce; higher ranks get them first, since a request with many calls needs all of
/// its retries, and granting a few to each request would complete none of them.
#[derive(Clone, Debug)]
pub struct TargetRetryBudget {
    limits: RetryLimits,
    buckets: [AttemptBucket; TOTAL_BUCKETS],
    bucket_start: TimePoint,
    /// Moving average of the requested retries, by rank.
    requests: RankRates,
    /// Moving average of the first attempts, by rank.
    first_attempts: RankRates,
    /// Moving average of the reported failure rates.
    failure_rate: f64,
}

impl TargetRetryBudget {
    #[must_use]
    pub fn new(limits: RetryLimits, now: TimePoint) -> Self {
        Self {
            limits,
            buckets: Default::default(),
            bucket_start: now,
            requests: RankRates::new(REQUEST_TIME_CONSTANT, now),
            first_attempts: RankRates::new(FIRST_ATTEMPT_TIME_CONSTANT, now),
            failure_rate: 0.0,
        }
    }

    pub fn record_first_attempt(&mut self, now: TimePoint, rank: u8) {
        self.advance(now);
        self.first_attempts.record(now, rank);
        self.buckets[TOTAL_BUCKETS - 1].first_attempts += 1;
    }

    /// Takes one retry from the budget; false if none is left for one target among `targets`.
    pub fn try_acquire(&mut self, now: TimePoint, request: RetryRequest, targets: usize) -> bool {
        self.advance(now);
        let reserve = self.record_request(now, request);
        let by_higher_ranks = self.retries_in_window(|rank| rank > request.rank);
        let by_other_ranks = self.retries_in_window(|rank| rank <= request.rank);
        let share = if request.is_inherited {
            1.0
        } else {
            NEW_RETRY_SHARE
        };
        let max_retries = self.max_retries(targets) * share;
        let is_granted = by_other_ranks + by_higher_ranks.max(reserve) + 1.0 <= max_retries;
        if is_granted {
            let retries = &mut self.buckets[TOTAL_BUCKETS - 1].retries;
            *retries.entry(request.rank).or_default() += 1;
        }
        is_granted
    }

    /// Retries of some ranks in the newest window.
    fn retries_in_window(&self, includes: impl Fn(u8) -> bool) -> f64 {
        let buckets = self.buckets[WINDOW_BUCKETS..].iter();
        let retries = buckets.flat_map(|bucket| &bucket.retries);
        let counted = retries.filter(|(rank, _)| includes(**rank));
        counted.map(|(_, count)| f64::from(*count)).sum()
    }

    /// Returns a retry that was taken just now and did not reach the target.
    pub fn return_unused(&mut self, rank: u8) {
        let retries = &mut self.buckets[TOTAL_BUCKETS - 1].retries;
        if let Some(retries) = retries.get_mut(&rank) {
            *retries = retries.saturating_sub(1);
        }
    }

    /// Retries that one target may receive in the newest window.
    fn max_retries(&self, targets: usize) -> f64 {
        let sums = WINDOW_BUCKET_OFFSETS.map(|offset| {
            let window_end = TOTAL_BUCKETS - offset;
            let window = &self.buckets[window_end - WINDOW_BUCKETS..window_end];
            window
                .iter()
                .map(|bucket| bucket.first_attempts)
                .sum::<u32>()
        });
        let first_attempts = sums.into_iter().max().unwrap_or_default();
        let targets = u32::try_from(targets.max(1)).unwrap_or(u32::MAX);
        let slack = self.limits.slack / f64::from(targets);
        (self.limits.ratio * f64::from(first_attempts) + slack) * USABLE_SHARE
    }

    /// Records a request; returns the number of retries that are reserved for higher ranks: what
    /// they would take in one window at their current request rate, or for the failure rate of the
    /// target.
    ///
    /// The failure rate is known as soon as the target begins to refuse calls. Until the higher
    /// ranks have requested their retries, lower ranks would take a large part of the budget.
    fn record_request(&mut self, now: TimePoint, request: RetryRequest) -> f64 {
        self.requests.record(now, request.rank);
        self.first_attempts.advance(now);
        let newest = request.failure_rate.min(MAX_FAILURE_RATE);
        self.failure_rate += (newest - self.failure_rate) * FAILURE_RATE_WEIGHT;
        let failure_rate = self.failure_rate.max(newest);
        let retries_per_call = failure_rate / (1.0 - failure_rate);
        let expected = self.first_attempts.per_second_above(request.rank) * retries_per_call;
        let requested = self.requests.per_second_above(request.rank);
        requested.max(expected) * self.limits.window.as_secs_f64()
    }

    fn advance(&mut self, now: TimePoint) {
        let bucket_length = self.limits.window / u32::try_from(WINDOW_BUCKETS).unwrap_or(1);
        while now.since(self.bucket_start) >= bucket_length {
            self.buckets.rotate_left(1);
            self.buckets[TOTAL_BUCKETS - 1] = AttemptBucket::default();
            self.bucket_start = self.bucket_start + bucket_length;
            if now.since(self.bucket_start) > self.limits.window * MAX_IDLE_WINDOWS {
                self.buckets = Default::default();
                self.bucket_start = now;
            }
        }
    }
}
