use {
    super::{QueueKey, SlotDecision, SlotOutcome, SlotScheduler, TargetLoad},
    crate::{
        net::{StreamEnd, StreamObserver},
        time::{BootClock, TimePoint},
    },
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
    /// The target is leaving or gone.
    TargetClosed,
}

/// Lets calls wait for the slots of one target.
#[derive(Debug)]
pub(crate) struct SlotSemaphore {
    clock: BootClock,
    books: Mutex<SemaphoreState>,
}

#[derive(Debug)]
struct SemaphoreState {
    guard: SlotScheduler,
    waiters: HashMap<QueueKey, oneshot::Sender<Result<(), SlotRefusal>>>,
    is_closed: bool,
}

/// A slot in use; free again once it is ended or dropped.
#[derive(Debug)]
pub(crate) struct SlotPermit {
    desk: Arc<SlotSemaphore>,
    started: TimePoint,
    is_ended: bool,
}

/// Takes a waiting call out of the queue when its caller goes away.
struct WaiterGuard<'a> {
    desk: &'a Arc<SlotSemaphore>,
    key: QueueKey,
    is_served: bool,
}

impl SlotSemaphore {
    pub(crate) fn new(clock: BootClock, slots: u32) -> Arc<Self> {
        Arc::new(Self {
            clock,
            books: Mutex::new(SemaphoreState {
                guard: SlotScheduler::new(slots, clock.now()),
                waiters: HashMap::new(),
                is_closed: false,
            }),
        })
    }

    pub(crate) fn set_slots(&self, slots: u32) {
        self.books().guard.set_slots(slots);
        self.start_ready();
    }

    /// Refuses all that wait and all that comes.
    pub(crate) fn close(&self) {
        let mut books = self.books();
        books.is_closed = true;
        for (_, waiter) in books.waiters.drain() {
            // A waiter whose caller has gone takes no answer.
            waiter.send(Err(SlotRefusal::TargetClosed)).ok();
        }
    }

    pub(crate) fn load(&self) -> TargetLoad {
        self.books().guard.load(self.clock.now())
    }

    pub(crate) fn pressure(&self) -> f64 {
        self.books().guard.pressure(self.clock.now())
    }

    /// Waits for a slot.
    pub(crate) async fn acquire(
        self: &Arc<Self>,
        rank: u8,
        root_start: TimePoint,
        deadline: TimePoint,
    ) -> Result<SlotPermit, SlotRefusal> {
        let (key, served) = {
            let now = self.clock.now();
            let mut books = self.books();
            if books.is_closed {
                return Err(SlotRefusal::TargetClosed);
            }
            match books.guard.offer(now, rank, root_start, deadline) {
                SlotDecision::Start => return Ok(self.ticket(now)),
                SlotDecision::Full => return Err(SlotRefusal::QueueFull),
                SlotDecision::Stalled => return Err(SlotRefusal::TargetStalled),
                SlotDecision::Wait(key) => {
                    let (waiter, served) = oneshot::channel();
                    books.waiters.insert(key, waiter);
                    (key, served)
                }
            }
        };
        let mut place = WaiterGuard {
            desk: self,
            key,
            is_served: false,
        };
        let result = served.await.unwrap_or(Err(SlotRefusal::TargetClosed));
        place.is_served = true;
        result.map(|()| self.ticket(self.clock.now()))
    }

    fn ticket(self: &Arc<Self>, now: TimePoint) -> SlotPermit {
        SlotPermit {
            desk: self.clone(),
            started: now,
            is_ended: false,
        }
    }

    fn start_ready(&self) {
        let mut books = self.books();
        let now = self.clock.now();
        while let Some((key, is_hopeful)) = books.guard.next_ready(now) {
            let Some(waiter) = books.waiters.remove(&key) else {
                if is_hopeful {
                    books.guard.finish(now, now, SlotOutcome::Abandoned);
                }
                continue;
            };
            let verdict = if is_hopeful {
                Ok(())
            } else {
                Err(SlotRefusal::DeadlineTooNear)
            };
            if waiter.send(verdict).is_err() && is_hopeful {
                books.guard.finish(now, now, SlotOutcome::Abandoned);
            }
        }
    }

    fn finish(&self, started: TimePoint, end: SlotOutcome) {
        self.books().guard.finish(self.clock.now(), started, end);
        self.start_ready();
    }

    fn books(&self) -> MutexGuard<'_, SemaphoreState> {
        self.books.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for WaiterGuard<'_> {
    fn drop(&mut self) {
        if self.is_served {
            return;
        }
        let mut books = self.desk.books();
        let now = self.desk.clock.now();
        if books.waiters.remove(&self.key).is_some() {
            books.guard.cancel(now, &self.key);
        } else if !books.is_closed {
            // The slot was granted while the caller went away.
            drop(books);
            self.desk.finish(now, SlotOutcome::Abandoned);
        }
    }
}

impl SlotPermit {
    pub(crate) fn started(&self) -> TimePoint {
        self.started
    }

    pub(crate) fn end(mut self, end: SlotOutcome) {
        self.is_ended = true;
        self.desk.finish(self.started, end);
    }
}

impl Drop for SlotPermit {
    fn drop(&mut self) {
        if !self.is_ended {
            self.desk.finish(self.started, SlotOutcome::Abandoned);
        }
    }
}

/// What a streamed answer holds until it has ended.
pub(crate) type ResponsePermit = Option<SlotPermit>;

impl StreamObserver for ResponsePermit {
    fn on_end(self, end: StreamEnd) {
        let Some(ticket) = self else {
            return;
        };
        ticket.end(match end {
            StreamEnd::Whole => SlotOutcome::Answered,
            StreamEnd::Broken => SlotOutcome::Failed,
            StreamEnd::Abandoned => SlotOutcome::Abandoned,
        });
    }
}
