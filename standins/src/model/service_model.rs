use {
    banyantrestle::time::TimePoint,
    std::{collections::BTreeSet, time::Duration},
};

/// Margin on predicted completion times against rounding.
const COMPLETION_ROUNDING: Duration = Duration::from_micros(1);

/// A target that shares its capacity evenly among its calls.
///
/// Up to `capacity` calls run at full speed. Above it, all calls slow down in proportion. Since
/// excess calls also take capacity, they slow down further, by a factor of
/// `1 + excess_slowdown * (calls / capacity - 1)`.
#[derive(Clone, Debug)]
pub struct ServiceModel {
    capacity: f64,
    excess_slowdown: f64,
    /// Slowdown by the dependencies of the target, which does not depend on the number of calls.
    slowdown: f64,
    updated_at: TimePoint,
    /// Work done on a call that has run since the model's start.
    progress: Duration,
    calls: BTreeSet<RunningCall>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RunningCall {
    /// Progress of the model at which the call is complete.
    done_at: Duration,
    call: usize,
}

/// Handle of a running call, for its cancellation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceHandle(RunningCall);

impl ServiceModel {
    #[must_use]
    pub fn new(excess_slowdown: f64) -> Self {
        Self {
            capacity: 1.0,
            excess_slowdown,
            slowdown: 1.0,
            updated_at: TimePoint::ORIGIN,
            progress: Duration::ZERO,
            calls: BTreeSet::new(),
        }
    }

    /// Changes the conditions from `now` on.
    pub fn set_conditions(&mut self, now: TimePoint, capacity: f64, slowdown: f64) {
        self.advance(now);
        self.capacity = capacity;
        self.slowdown = slowdown;
    }

    pub fn start(&mut self, now: TimePoint, call: usize, work: Duration) -> ServiceHandle {
        self.advance(now);
        let done_at = self.progress + work;
        let running = RunningCall { done_at, call };
        self.calls.insert(running);
        ServiceHandle(running)
    }

    pub fn cancel(&mut self, now: TimePoint, handle: ServiceHandle) {
        self.advance(now);
        self.calls.remove(&handle.0);
    }

    /// Time at which the next call will complete if no conditions or calls change.
    #[must_use]
    pub fn next_completion(&self) -> Option<TimePoint> {
        let first = self.calls.first()?;
        let left = first.done_at.saturating_sub(self.progress);
        Some(self.updated_at + left.mul_f64(self.factor()) + COMPLETION_ROUNDING)
    }

    /// Removes and returns a call that is complete at `now`.
    pub fn complete(&mut self, now: TimePoint) -> Option<usize> {
        self.advance(now);
        let first = *self.calls.first()?;
        if first.done_at > self.progress {
            return None;
        }
        self.calls.remove(&first);
        Some(first.call)
    }

    fn advance(&mut self, now: TimePoint) {
        let elapsed = now.since(self.updated_at);
        self.progress += elapsed.div_f64(self.factor());
        self.updated_at = now;
    }

    /// Time that one unit of work takes under the present conditions.
    fn factor(&self) -> f64 {
        let calls = f64::from(u32::try_from(self.calls.len()).unwrap_or(u32::MAX));
        let crowding = (calls / self.capacity).max(1.0);
        let excess_factor = 1.0 + self.excess_slowdown * (crowding - 1.0);
        self.slowdown * crowding * excess_factor
    }
}
