use {crate::time::TimePoint, std::time::Duration};

/// Bounds of the repeats that targets of one service may get.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RepeatBounds {
    /// Repeats for each first arrival.
    pub ratio: f64,
    /// Length of any window that the bound holds for.
    pub window: Duration,
    /// Repeats beyond the ratio, over all targets of a service.
    pub slack: f64,
}

impl Default for RepeatBounds {
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
/// Part of the ratio that repeats begun here may use; the rest is kept for calls below a repeat
/// that was granted further up.
const OWN_SHARE: f64 = 0.5;
/// Part of the bound that is used at all, since the windows of targets are not aligned.
const SAFE_SHARE: f64 = 0.8;

#[derive(Clone, Copy, Debug, Default)]
struct ArrivalBucket {
    firsts: u32,
    repeats: u32,
}

/// Repeats at one target against its first arrivals, in a sliding window.
///
/// All arrivals at a service pass the daemons of its targets, so that bounds that each keeps add
/// up to the bound of the service.
#[derive(Clone, Debug)]
pub struct RepeatBudget {
    bounds: RepeatBounds,
    /// The current bucket is the last; one more than a window holds.
    buckets: [ArrivalBucket; BUCKETS + 1],
    opened: TimePoint,
}

impl RepeatBudget {
    #[must_use]
    pub fn new(bounds: RepeatBounds, now: TimePoint) -> Self {
        Self {
            bounds,
            buckets: [ArrivalBucket::default(); BUCKETS + 1],
            opened: now,
        }
    }

    pub fn note_first(&mut self, now: TimePoint) {
        self.turn(now);
        self.buckets[BUCKETS].firsts += 1;
    }

    /// Takes the place of one repeat; false if none is left for one target among `targets`.
    pub fn take_repeat(&mut self, now: TimePoint, is_inherited: bool, targets: usize) -> bool {
        self.turn(now);
        let firsts: u32 = self.buckets.iter().map(|bucket| bucket.firsts).sum();
        let repeats: u32 = self.buckets.iter().map(|bucket| bucket.repeats).sum();
        let share = if is_inherited { 1.0 } else { OWN_SHARE };
        let targets = u32::try_from(targets.max(1)).unwrap_or(u32::MAX);
        let slack = self.bounds.slack / f64::from(targets);
        let bound = (self.bounds.ratio * f64::from(firsts) + slack) * SAFE_SHARE * share;
        let is_granted = f64::from(repeats) + 1.0 <= bound;
        if is_granted {
            self.buckets[BUCKETS].repeats += 1;
        }
        is_granted
    }

    fn turn(&mut self, now: TimePoint) {
        let span = self.bounds.window / u32::try_from(BUCKETS).unwrap_or(1);
        while now.since(self.opened) >= span {
            self.buckets.rotate_left(1);
            self.buckets[BUCKETS] = ArrivalBucket::default();
            self.opened = self.opened + span;
            if now.since(self.opened) > self.bounds.window * 2 {
                self.buckets = [ArrivalBucket::default(); BUCKETS + 1];
                self.opened = now;
            }
        }
    }
}
