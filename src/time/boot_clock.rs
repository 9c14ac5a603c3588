use {
    super::TimePoint,
    nix::time::{ClockId, clock_gettime},
    std::time::Duration,
    tokio::time::Instant,
};

/// Clock that continues while the VM is suspended.
///
/// The monotonic clock stops during suspension. A deadline measured on it would not pass in that
/// time, and work would continue for callers that no longer wait.
#[derive(Clone, Copy, Debug)]
pub struct BootClock {
    origin: Duration,
}

impl BootClock {
    #[must_use]
    pub fn start() -> Self {
        Self {
            origin: boot_time(),
        }
    }

    #[must_use]
    pub fn now(&self) -> TimePoint {
        TimePoint::ORIGIN + boot_time().saturating_sub(self.origin)
    }

    /// Converts `point` to a tokio instant. If the VM is suspended before then, the instant is
    /// later than `point` by the length of the suspension.
    #[must_use]
    pub fn instant_of(&self, point: TimePoint) -> Instant {
        Instant::now() + self.now().until(point)
    }
}

/// Time since the VM booted, including suspension; zero if the kernel lacks `CLOCK_BOOTTIME`.
fn boot_time() -> Duration {
    clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(Duration::ZERO, Duration::from)
}
