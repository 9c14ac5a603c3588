use {
    super::{
        QueueKey, QueuedCall, RateStatement, SlotDecision, SlotOutcome, SlotScheduler, TargetLoad,
    },
    crate::time::{BootClock, TimePoint},
    std::{
        collections::HashMap,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
    },
    strum::{Display, IntoStaticStr},
    tokio::sync::oneshot,
};

/// Why a call got no slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum SlotRefusal {
    QueueFull,
    TargetStalled,
    DeadlineTooNear,
    /// The rate limit of the target is exhausted.
    RateLimited,
    /// The target is draining or gone.
    TargetClosed,
}

/// Asynchronous semaphore for the slots of one target; [`SlotScheduler`] decides the order.
#[derive(Debug)]
pub(crate) struct SlotSemaphore {
    clock: BootClock,
    state: Mutex<SemaphoreState>,
}

#[derive(Debug)]
struct SemaphoreState {
    scheduler: SlotScheduler,
    waiters: HashMap<QueueKey, oneshot::Sender<Result<(), SlotRefusal>>>,
    is_closed: bool,
}

/// A slot in use; released explicitly or on drop.
#[derive(Debug)]
pub(crate) struct SlotPermit {
    semaphore: Arc<SlotSemaphore>,
    started_at: TimePoint,
    is_finished: bool,
}

/// Removes a waiting call from the queue if its caller cancels it.
struct WaiterGuard<'a> {
    semaphore: &'a Arc<SlotSemaphore>,
    key: QueueKey,
    is_resolved: bool,
}

impl SlotSemaphore {
    pub(crate) fn new(clock: BootClock, slots: u32) -> Arc<Self> {
        Arc::new(Self {
            clock,
            state: Mutex::new(SemaphoreState {
                scheduler: SlotScheduler::new(slots, clock.now()).with_unknown_rate(),
                waiters: HashMap::new(),
                is_closed: false,
            }),
        })
    }

    pub(crate) fn set_slots(&self, slots: u32) {
        self.state().scheduler.set_slots(slots);
        self.grant_ready();
    }

    /// Refuses all waiting and all future calls.
    pub(crate) fn close(&self) {
        let mut state = self.state();
        state.is_closed = true;
        for (_, waiter) in state.waiters.drain() {
            // A cancelled waiter has dropped its receiver.
            waiter.send(Err(SlotRefusal::TargetClosed)).ok();
        }
    }

    pub(crate) fn is_closed(&self) -> bool {
        self.state().is_closed
    }

    pub(crate) fn load(&self) -> TargetLoad {
        self.state().scheduler.load(self.clock.now())
    }

    /// Applies what a response says of the target's rate limit; returns the limit before and after.
    pub(crate) fn record_rate(&self, statement: RateStatement) -> (Option<f64>, Option<f64>) {
        let (was_unknown, before, after) = {
            let mut state = self.state();
            let was_unknown = state.scheduler.is_rate_unknown();
            let before = state.scheduler.rate_limit();
            state.scheduler.record_rate(self.clock.now(), statement);
            (was_unknown, before, state.scheduler.rate_limit())
        };
        if was_unknown || before != after {
            self.grant_ready();
        }
        (before, after)
    }

    pub(crate) fn rate_limit(&self) -> Option<f64> {
        self.state().scheduler.rate_limit()
    }

    pub(crate) fn pressure(&self) -> f64 {
        self.state().scheduler.pressure(self.clock.now())
    }

    /// Waits for a slot.
    pub(crate) async fn acquire(
        self: &Arc<Self>,
        rank: u8,
        root_start: TimePoint,
        deadline: TimePoint,
    ) -> Result<SlotPermit, SlotRefusal> {
        let (key, granted) = {
            let now = self.clock.now();
            let mut state = self.state();
            if state.is_closed {
                return Err(SlotRefusal::TargetClosed);
            }
            match state.scheduler.request(now, rank, root_start, deadline) {
                SlotDecision::Start => return Ok(self.permit(now)),
                SlotDecision::QueueFull => return Err(SlotRefusal::QueueFull),
                SlotDecision::TargetStalled => return Err(SlotRefusal::TargetStalled),
                SlotDecision::Queued(key) => {
                    let (waiter, granted) = oneshot::channel();
                    state.waiters.insert(key, waiter);
                    (key, granted)
                }
            }
        };
        // A full queue for the rate limit refuses its last call, which may be this one.
        self.grant_ready();
        let mut guard = WaiterGuard {
            semaphore: self,
            key,
            is_resolved: false,
        };
        let result = granted.await.unwrap_or(Err(SlotRefusal::TargetClosed));
        guard.is_resolved = true;
        result.map(|()| self.permit(self.clock.now()))
    }

    fn permit(self: &Arc<Self>, now: TimePoint) -> SlotPermit {
        SlotPermit {
            semaphore: self.clone(),
            started_at: now,
            is_finished: false,
        }
    }

    /// Grants slots to waiting calls and refuses those that can't get one in time.
    pub(crate) fn grant_ready(&self) {
        let mut state = self.state();
        let now = self.clock.now();
        while let Some(call) = state.scheduler.pop_ready(now) {
            let (key, result) = match call {
                QueuedCall::Ready(key) => (key, Ok(())),
                QueuedCall::DeadlineTooNear(key) => (key, Err(SlotRefusal::DeadlineTooNear)),
                QueuedCall::RateLimited(key) => (key, Err(SlotRefusal::RateLimited)),
            };
            let waiter = state.waiters.remove(&key);
            let is_delivered = waiter.is_some_and(|waiter| waiter.send(result).is_ok());
            if !is_delivered && result.is_ok() {
                state.scheduler.finish(now, now, SlotOutcome::Abandoned);
            }
        }
    }

    fn finish(&self, started_at: TimePoint, outcome: SlotOutcome) {
        self.state()
            .scheduler
            .finish(self.clock.now(), started_at, outcome);
        self.grant_ready();
    }

    fn state(&self) -> MutexGuard<'_, SemaphoreState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for WaiterGuard<'_> {
    fn drop(&mut self) {
        if self.is_resolved {
            return;
        }
        let mut state = self.semaphore.state();
        let now = self.semaphore.clock.now();
        if state.waiters.remove(&self.key).is_some() {
            state.scheduler.cancel(now, &self.key);
        } else if !state.is_closed {
            // The slot was granted at the moment the caller cancelled.
            drop(state);
            self.semaphore.finish(now, SlotOutcome::Abandoned);
        }
    }
}

impl SlotPermit {
    pub(crate) fn started_at(&self) -> TimePoint {
        self.started_at
    }

    pub(crate) fn release(mut self, outcome: SlotOutcome) {
        self.is_finished = true;
        self.semaphore.finish(self.started_at, outcome);
    }
}

impl Drop for SlotPermit {
    fn drop(&mut self) {
        if !self.is_finished {
            self.semaphore
                .finish(self.started_at, SlotOutcome::Abandoned);
        }
    }
}
