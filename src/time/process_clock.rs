use {
    super::TimePoint,
    std::time::{SystemTime, UNIX_EPOCH},
    tokio::time::Instant,
};

/// Monotonic clock of this process, with the wall time of its start.
#[derive(Clone, Copy, Debug)]
pub struct ProcessClock {
    origin: Instant,
    origin_wall_ms: u64,
}

impl ProcessClock {
    #[must_use]
    pub fn start() -> Self {
        let wall = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Self {
            origin: Instant::now(),
            origin_wall_ms: u64::try_from(wall.as_millis()).unwrap_or(u64::MAX),
        }
    }

    #[must_use]
    pub fn now(&self) -> TimePoint {
        TimePoint::ORIGIN + self.origin.elapsed()
    }

    /// Milliseconds of the Unix epoch, steady under steps of the wall clock.
    #[must_use]
    pub fn wall_ms(&self) -> u64 {
        self.origin_wall_ms.saturating_add(self.now().as_millis())
    }

    /// The tokio instant of `point`, for timeouts.
    #[must_use]
    pub fn instant_of(&self, point: TimePoint) -> Instant {
        let elapsed = point.since(TimePoint::ORIGIN);
        self.origin + elapsed
    }
}
