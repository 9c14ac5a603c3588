use {
    crate::time::TimePoint,
    rand::{Rng, RngExt},
    std::time::Duration,
};

/// Polls of the policy row per second by all daemons together.
pub const DEPLOYMENT_POLLS_PER_SECOND: u32 = 4;
/// Minimum of the mean interval between two polls of one daemon.
pub const MIN_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Delay after the first failed poll while no poll has succeeded yet; it doubles with each further
/// failure.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(500);
const MAX_RETRY_DOUBLINGS: u32 = 10;

/// Schedules the polls of the policy row; all members share one rate.
#[derive(Clone, Copy, Debug)]
pub struct PollSchedule {
    member_count: u32,
    next_poll_at: TimePoint,
    consecutive_failures: u32,
    has_succeeded: bool,
}

impl PollSchedule {
    /// The first poll is due at `now`.
    #[must_use]
    pub const fn new(now: TimePoint) -> Self {
        Self {
            member_count: 1,
            next_poll_at: now,
            consecutive_failures: 0,
            has_succeeded: false,
        }
    }

    pub fn set_member_count(&mut self, member_count: u32) {
        self.member_count = member_count.max(1);
    }

    #[must_use]
    pub fn is_due(&self, now: TimePoint) -> bool {
        now >= self.next_poll_at
    }

    /// Mean interval between two polls.
    #[must_use]
    pub fn mean_interval(&self) -> Duration {
        let shared_interval =
            Duration::from_secs(self.member_count.into()) / DEPLOYMENT_POLLS_PER_SECOND;
        shared_interval.max(MIN_POLL_INTERVAL)
    }

    pub fn record_success(&mut self, now: TimePoint, rng: &mut impl Rng) {
        self.has_succeeded = true;
        self.consecutive_failures = 0;
        self.next_poll_at = now + jitter(self.mean_interval(), rng);
    }

    pub fn record_failure(&mut self, now: TimePoint, rng: &mut impl Rng) {
        let retry_delay =
            INITIAL_RETRY_DELAY * 2_u32.pow(self.consecutive_failures.min(MAX_RETRY_DOUBLINGS));
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        let delay = if self.has_succeeded {
            self.mean_interval()
        } else {
            self.mean_interval().min(retry_delay)
        };
        self.next_poll_at = now + jitter(delay, rng);
    }
}

/// Scales the interval by a random factor from 0.5 to 1.5.
fn jitter(interval: Duration, rng: &mut impl Rng) -> Duration {
    interval.mul_f64(rng.random_range(0.5..1.5))
}
