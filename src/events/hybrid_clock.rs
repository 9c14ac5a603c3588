use {super::HybridStamp, std::time::Duration};

/// Lead of a remote stamp over the local wall clock up to which it is followed.
pub const MAX_CLOCK_DRIFT: Duration = Duration::from_secs(5);

/// Hybrid logical clock: wall time as far as possible, order of cause always.
///
/// A remote stamp that leads by more than [`MAX_CLOCK_DRIFT`] is not followed, so that one wrong
/// wall clock does not drag the others along.
#[derive(Clone, Copy, Debug, Default)]
pub struct HybridClock {
    last: HybridStamp,
}

impl HybridClock {
    /// Stamp of a local event.
    pub fn tick(&mut self, wall_ms: u64) -> HybridStamp {
        let wall = HybridStamp { wall_ms, count: 0 };
        self.last = wall.max(self.last.next());
        self.last
    }

    /// Stamp of an event that follows one with the stamp `remote`.
    pub fn observe(&mut self, remote: HybridStamp, wall_ms: u64) -> HybridStamp {
        let max_drift_ms = u64::try_from(MAX_CLOCK_DRIFT.as_millis()).unwrap_or(u64::MAX);
        let is_within_drift = remote.wall_ms <= wall_ms.saturating_add(max_drift_ms);
        if is_within_drift {
            self.last = self.last.max(remote);
        }
        self.tick(wall_ms)
    }

    /// The latest stamp given out.
    #[must_use]
    pub const fn last(&self) -> HybridStamp {
        self.last
    }
}
