use {
    super::TimePoint,
    nix::time::{ClockId, clock_gettime},
    std::time::Duration,
    tokio::time::Instant,
};

/// Clock that goes on while the VM is suspended.
///
/// The monotonic clock stands still then, so a deadline that was counted on it would be met by
/// work whose caller has long gone.
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

    /// The tokio instant of `point`, if the VM is not suspended until then.
    #[must_use]
    pub fn instant_of(&self, point: TimePoint) -> Instant {
        Instant::now() + self.now().until(point)
    }
}

/// Time since the VM booted, suspension included; zero where the kernel has no such clock.
fn boot_time() -> Duration {
    clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(Duration::ZERO, Duration::from)
}
