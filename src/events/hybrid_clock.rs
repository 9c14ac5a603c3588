//! Hybrid logical clock.

use {super::HybridStamp, std::time::Duration};

/// Maximum lead over the local wall clock at which a remote stamp is accepted.
pub const MAX_CLOCK_DRIFT: Duration = Duration::from_secs(5);

/// Hybrid logical clock, which stays close to wall time and keeps causal order.
///
/// A remote stamp that leads by more than [`MAX_CLOCK_DRIFT`] is ignored, so that one wrong wall
/// clock does not advance the clocks of other processes.
#[derive(Clone, Copy, Debug, Default)]
pub struct HybridClock {
    last: HybridStamp,
}

impl HybridClock {
    /// Advances the clock for a local event and returns its stamp.
    pub fn tick(&mut self, wall_ms: u64) -> HybridStamp {
        let wall = HybridStamp { wall_ms, count: 0 };
        self.last = wall.max(self.last.next());
        self.last
    }

    /// Advances the clock past `remote` and returns a stamp after it.
    pub fn observe(&mut self, remote: HybridStamp, wall_ms: u64) -> HybridStamp {
        let max_drift_ms = u64::try_from(MAX_CLOCK_DRIFT.as_millis()).unwrap_or(u64::MAX);
        let is_within_drift = remote.wall_ms <= wall_ms.saturating_add(max_drift_ms);
        if is_within_drift {
            self.last = self.last.max(remote);
        }
        self.tick(wall_ms)
    }

    /// Latest stamp that was returned.
    #[must_use]
    pub const fn last(&self) -> HybridStamp {
        self.last
    }
}
