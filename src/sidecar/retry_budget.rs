use {
    crate::time::{TimePoint, decay_factor},
    std::{collections::BTreeMap, time::Duration},
};

/// Bounds of the repeats that targets of one service may get.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Repeats for each first arrival.
    pub ratio: f64,
    /// Length of any window that the bound holds for.
    pub window: Duration,
    /// Repeats beyond the ratio, over all targets of a service.
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

/// Buckets of one window.
const WINDOW_BUCKETS: usize = 10;
/// The window before counts as well, and the current bucket is the last.
const TOTAL_BUCKETS: usize = 2 * WINDOW_BUCKETS + 1;
/// Buckets by which the windows whose first arrivals count are older than the newest one.
const WINDOW_BUCKET_OFFSETS: [usize; 3] = [0, WINDOW_BUCKETS / 2, WINDOW_BUCKETS];
/// Part of the bound that is used at all, since the windows of targets are not aligned.
const USABLE_SHARE: f64 = 0.9;
/// Part of the bound that repeats begun here may use; the rest is kept for calls below a repeat
/// that was granted further up.
const NEW_RETRY_SHARE: f64 = 0.9;
/// Time over which the repeats asked for are averaged.
const REQUEST_TIME_CONSTANT: Duration = Duration::from_millis(500);
/// Asks of a rank below which it is forgotten.
const MIN_REQUESTS: f64 = 0.01;

#[derive(Clone, Copy, Debug, Default)]
struct AttemptBucket {
    first_attempts: u32,
    retries: u32,
}

/// A repeat that asks for its place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryRequest {
    pub rank: u8,
    /// The repeat was begun by a call further up.
    pub is_inherited: bool,
}

/// Repeats at one target against its first arrivals, in a sliding window.
///
/// All arrivals at a service pass the daemons of its targets, so that bounds that each keeps add
/// up to the bound of the service. Where targets refuse a large part of what they get, repeats
/// are the scarce resource; higher ranks get them first, since calls of a deep request that are
/// granted here and there complete none of them.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    limits: RetryLimits,
    buckets: [AttemptBucket; TOTAL_BUCKETS],
    bucket_start: TimePoint,
    /// Asks of late by rank.
    requests: BTreeMap<u8, f64>,
    requests_updated_at: TimePoint,
}

impl RetryBudget {
    #[must_use]
    pub fn new(limits: RetryLimits, now: TimePoint) -> Self {
        Self {
            limits,
            buckets: [AttemptBucket::default(); TOTAL_BUCKETS],
            bucket_start: now,
            requests: BTreeMap::new(),
            requests_updated_at: now,
        }
    }

    pub fn record_first_attempt(&mut self, now: TimePoint) {
        self.advance(now);
        self.buckets[TOTAL_BUCKETS - 1].first_attempts += 1;
    }

    /// Takes the place of one repeat; false if none is left for one target among `targets`.
    pub fn try_acquire(&mut self, now: TimePoint, request: RetryRequest, targets: usize) -> bool {
        self.advance(now);
        let reserve = self.record_request(now, request.rank);
        let retries: u32 = self.buckets[WINDOW_BUCKETS..]
            .iter()
            .map(|bucket| bucket.retries)
            .sum();
        let share = if request.is_inherited {
            1.0
        } else {
            NEW_RETRY_SHARE
        };
        let max_retries = self.max_retries(targets) * share;
        let is_granted = f64::from(retries) + reserve + 1.0 <= max_retries;
        if is_granted {
            self.buckets[TOTAL_BUCKETS - 1].retries += 1;
        }
        is_granted
    }

    /// Repeats that one target may get in the newest window.
    fn max_retries(&self, targets: usize) -> f64 {
        let sums = WINDOW_BUCKET_OFFSETS.map(|offset| {
            let end = TOTAL_BUCKETS - offset;
            let window = &self.buckets[end - WINDOW_BUCKETS..end];
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

    /// Counts the ask; returns what higher ranks would take in a window at the rate at which they
    /// ask now.
    fn record_request(&mut self, now: TimePoint, rank: u8) -> f64 {
        let decay = decay_factor(
            now.since(self.requests_updated_at).as_secs_f64(),
            REQUEST_TIME_CONSTANT,
        );
        self.requests_updated_at = now;
        self.requests.retain(|_, requests| {
            *requests *= decay;
            *requests > MIN_REQUESTS
        });
        *self.requests.entry(rank).or_default() += 1.0;
        let higher_ranks = self.requests.iter().filter(|(other, _)| **other > rank);
        let requests: f64 = higher_ranks.map(|(_, requests)| requests).sum();
        requests / REQUEST_TIME_CONSTANT.as_secs_f64() * self.limits.window.as_secs_f64()
    }

    fn advance(&mut self, now: TimePoint) {
        let span = self.limits.window / u32::try_from(WINDOW_BUCKETS).unwrap_or(1);
        while now.since(self.bucket_start) >= span {
            self.buckets.rotate_left(1);
            self.buckets[TOTAL_BUCKETS - 1] = AttemptBucket::default();
            self.bucket_start = self.bucket_start + span;
            if now.since(self.bucket_start) > self.limits.window * 3 {
                self.buckets = [AttemptBucket::default(); TOTAL_BUCKETS];
                self.bucket_start = now;
            }
        }
    }
}
