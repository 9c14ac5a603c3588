use {
    crate::time::TimePoint,
    rand::{Rng, RngExt},
    std::time::Duration,
};

/// Reads of the policy row that all daemons together make in a second.
pub const POLL_READS_PER_SECOND: u32 = 4;
/// Shortest time between two polls of one daemon.
pub const MIN_POLL_PERIOD: Duration = Duration::from_secs(1);

/// First wait after a failed poll of a daemon that has had no answer yet; it doubles.
const START_RETRY_PERIOD: Duration = Duration::from_millis(500);
const MAX_DOUBLINGS: u32 = 10;

/// When to read the policy row again; the rate is shared out over the members.
#[derive(Clone, Copy, Debug)]
pub struct PollSchedule {
    members: u32,
    next: TimePoint,
    failures: u32,
    has_answer: bool,
}

impl PollSchedule {
    /// The first poll is due at `now`.
    #[must_use]
    pub const fn new(now: TimePoint) -> Self {
        Self {
            members: 1,
            next: now,
            failures: 0,
            has_answer: false,
        }
    }

    pub fn set_members(&mut self, members: u32) {
        self.members = members.max(1);
    }

    #[must_use]
    pub fn is_due(&self, now: TimePoint) -> bool {
        now >= self.next
    }

    /// Mean time between two polls.
    #[must_use]
    pub fn period(&self) -> Duration {
        let shared = Duration::from_secs(self.members.into()) / POLL_READS_PER_SECOND;
        shared.max(MIN_POLL_PERIOD)
    }

    pub fn succeeded(&mut self, now: TimePoint, rng: &mut impl Rng) {
        self.has_answer = true;
        self.failures = 0;
        self.next = now + jitter(self.period(), rng);
    }

    pub fn failed(&mut self, now: TimePoint, rng: &mut impl Rng) {
        let retry = START_RETRY_PERIOD * 2_u32.pow(self.failures.min(MAX_DOUBLINGS));
        self.failures = self.failures.saturating_add(1);
        let pause = if self.has_answer {
            self.period()
        } else {
            self.period().min(retry)
        };
        self.next = now + jitter(pause, rng);
    }
}

/// Half to one and a half of the period.
fn jitter(period: Duration, rng: &mut impl Rng) -> Duration {
    period.mul_f64(rng.random_range(0.5..1.5))
}
