use {
    super::TimePoint,
    std::time::{SystemTime, UNIX_EPOCH},
    tokio::time::Instant,
};

/// Monotonic clock of this process, with the wall-clock time of its start.
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

    /// Milliseconds since the Unix epoch; changes of the wall clock after the start have no effect.
    #[must_use]
    pub fn wall_ms(&self) -> u64 {
        self.origin_wall_ms.saturating_add(self.now().as_millis())
    }

    /// Converts `point` to a tokio instant.
    #[must_use]
    pub fn instant_of(&self, point: TimePoint) -> Instant {
        let elapsed = point.since(TimePoint::ORIGIN);
        self.origin + elapsed
    }
}
