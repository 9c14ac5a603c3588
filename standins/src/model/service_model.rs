use {
    banyantrestle::time::TimePoint,
    std::{collections::BTreeSet, time::Duration},
};

/// Rounding of predicted completions.
const COMPLETION_ROUNDING: Duration = Duration::from_micros(1);

/// A target that shares its capacity evenly among its calls.
///
/// With no more calls than `capacity` each runs at full speed. Beyond it, all slow in proportion,
/// and `thrash` takes a part of the capacity for each call too many.
#[derive(Clone, Debug)]
pub struct ServiceModel {
    capacity: f64,
    thrash: f64,
    /// Slowness of whatever the target calls itself; it does not depend on the number of calls.
    slowdown: f64,
    updated_at: TimePoint,
    /// Work that a call has got if it was there from the start.
    progress: Duration,
    calls: BTreeSet<RunningCall>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RunningCall {
    /// Progress at which the call is done.
    done_at: Duration,
    call: usize,
}

/// Place of a call in the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceHandle(RunningCall);

impl ServiceModel {
    #[must_use]
    pub fn new(thrash: f64) -> Self {
        Self {
            capacity: 1.0,
            thrash,
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

    /// When the next call will be done if nothing changes.
    #[must_use]
    pub fn next_completion(&self) -> Option<TimePoint> {
        let first = self.calls.first()?;
        let left = first.done_at.saturating_sub(self.progress);
        Some(self.updated_at + left.mul_f64(self.factor()) + COMPLETION_ROUNDING)
    }

    /// Takes a call that is done at `now`.
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

    /// Time that a unit of work takes.
    fn factor(&self) -> f64 {
        let calls = f64::from(u32::try_from(self.calls.len()).unwrap_or(u32::MAX));
        let crowding = (calls / self.capacity).max(1.0);
        let thrash = 1.0 + self.thrash * (crowding - 1.0);
        self.slowdown * crowding * thrash
    }
}
