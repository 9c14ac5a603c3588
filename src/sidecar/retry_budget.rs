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
const BUCKETS: usize = 10;
/// The window before counts as well, and the current bucket is the last.
const ALL_BUCKETS: usize = 2 * BUCKETS + 1;
/// Buckets by which the windows whose first arrivals count are older than the newest one.
const WINDOW_LAGS: [usize; 3] = [0, BUCKETS / 2, BUCKETS];
/// Part of the bound that is used at all, since the windows of targets are not aligned.
const SAFE_SHARE: f64 = 0.9;
/// Part of the bound that repeats begun here may use; the rest is kept for calls below a repeat
/// that was granted further up.
const OWN_SHARE: f64 = 0.9;
/// Time over which the repeats asked for are averaged.
const ASK_MEMORY: Duration = Duration::from_millis(500);
/// Asks of a rank below which it is forgotten.
const LEAST_ASKS: f64 = 0.01;

#[derive(Clone, Copy, Debug, Default)]
struct AttemptBucket {
    firsts: u32,
    repeats: u32,
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
    bounds: RetryLimits,
    buckets: [AttemptBucket; ALL_BUCKETS],
    opened: TimePoint,
    /// Asks of late by rank.
    asks: BTreeMap<u8, f64>,
    asked: TimePoint,
}

impl RetryBudget {
    #[must_use]
    pub fn new(bounds: RetryLimits, now: TimePoint) -> Self {
        Self {
            bounds,
            buckets: [AttemptBucket::default(); ALL_BUCKETS],
            opened: now,
            asks: BTreeMap::new(),
            asked: now,
        }
    }

    pub fn note_first(&mut self, now: TimePoint) {
        self.turn(now);
        self.buckets[ALL_BUCKETS - 1].firsts += 1;
    }

    /// Takes the place of one repeat; false if none is left for one target among `targets`.
    pub fn take_repeat(&mut self, now: TimePoint, ask: RetryRequest, targets: usize) -> bool {
        self.turn(now);
        let reserve = self.note_ask(now, ask.rank);
        let repeats: u32 = self.buckets[BUCKETS..]
            .iter()
            .map(|bucket| bucket.repeats)
            .sum();
        let share = if ask.is_inherited { 1.0 } else { OWN_SHARE };
        let bound = self.bound(targets) * share;
        let is_granted = f64::from(repeats) + reserve + 1.0 <= bound;
        if is_granted {
            self.buckets[ALL_BUCKETS - 1].repeats += 1;
        }
        is_granted
    }

    /// Repeats that one target may get in the newest window.
    fn bound(&self, targets: usize) -> f64 {
        let sums = WINDOW_LAGS.map(|lag| {
            let end = ALL_BUCKETS - lag;
            let window = &self.buckets[end - BUCKETS..end];
            window.iter().map(|bucket| bucket.firsts).sum::<u32>()
        });
        let firsts = sums.into_iter().max().unwrap_or_default();
        let targets = u32::try_from(targets.max(1)).unwrap_or(u32::MAX);
        let slack = self.bounds.slack / f64::from(targets);
        (self.bounds.ratio * f64::from(firsts) + slack) * SAFE_SHARE
    }

    /// Counts the ask; returns what higher ranks would take in a window at the rate at which they
    /// ask now.
    fn note_ask(&mut self, now: TimePoint, rank: u8) -> f64 {
        let kept = decay_factor(now.since(self.asked).as_secs_f64(), ASK_MEMORY);
        self.asked = now;
        self.asks.retain(|_, asks| {
            *asks *= kept;
            *asks > LEAST_ASKS
        });
        *self.asks.entry(rank).or_default() += 1.0;
        let higher = self.asks.iter().filter(|(other, _)| **other > rank);
        let asks: f64 = higher.map(|(_, asks)| asks).sum();
        asks / ASK_MEMORY.as_secs_f64() * self.bounds.window.as_secs_f64()
    }

    fn turn(&mut self, now: TimePoint) {
        let span = self.bounds.window / u32::try_from(BUCKETS).unwrap_or(1);
        while now.since(self.opened) >= span {
            self.buckets.rotate_left(1);
            self.buckets[ALL_BUCKETS - 1] = AttemptBucket::default();
            self.opened = self.opened + span;
            if now.since(self.opened) > self.bounds.window * 3 {
                self.buckets = [AttemptBucket::default(); ALL_BUCKETS];
                self.opened = now;
            }
        }
    }
}
