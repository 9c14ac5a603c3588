use {
    crate::{
        admission::{
            AdmissionDecision, AdmissionGuard, AdmissionRefusal, AdmissionRequest, CompletionKind,
            ConcurrencyLimit, GuardEffect, GuardLoad, TicketKey,
        },
        time::{ProcessClock, TimePoint},
    },
    slotmap::SecondaryMap,
    std::sync::{Arc, Mutex, MutexGuard, PoisonError},
    tokio::sync::oneshot,
};

/// Shares an [`AdmissionGuard`] between tasks that wait for its decisions.
#[derive(Debug)]
pub(crate) struct SharedGuard<L: ConcurrencyLimit> {
    clock: ProcessClock,
    state: Mutex<GuardState<L>>,
}

#[derive(Debug)]
struct GuardState<L: ConcurrencyLimit> {
    guard: AdmissionGuard<L>,
    waiters: SecondaryMap<TicketKey, oneshot::Sender<Result<(), AdmissionRefusal>>>,
}

/// Ticket of a call that the guard has started or queued.
#[derive(Debug)]
struct OfferedTicket {
    ticket: TicketKey,
    /// Resolves once a queued call is started or dropped.
    effect: Option<oneshot::Receiver<Result<(), AdmissionRefusal>>>,
}

/// Ticket of an admitted call. Frees the slot when it is finished or dropped.
#[derive(Debug)]
pub(crate) struct AdmittedTicket<L: ConcurrencyLimit> {
    guard: Arc<SharedGuard<L>>,
    ticket: Option<TicketKey>,
}

impl<L: ConcurrencyLimit> SharedGuard<L> {
    pub(crate) fn new(clock: ProcessClock, guard: AdmissionGuard<L>) -> Arc<Self> {
        let state = GuardState {
            guard,
            waiters: SecondaryMap::new(),
        };
        Arc::new(Self {
            clock,
            state: Mutex::new(state),
        })
    }

    /// Refuses a call that the guard would refuse now. Occupies no slot and no place in the queue.
    pub(crate) fn check(&self, request: &AdmissionRequest) -> Result<(), AdmissionRefusal> {
        let now = self.clock.now();
        self.lock().guard.check(now, request, &mut rand::rng())
    }

    /// Waits until the call may start. Dropping the future removes the call from the queue.
    pub(crate) async fn admit(
        self: &Arc<Self>,
        request: AdmissionRequest,
    ) -> Result<AdmittedTicket<L>, AdmissionRefusal> {
        let offered = self.offer(request)?;
        // A ticket that is dropped while queued is finished as cancelled.
        let admitted = AdmittedTicket {
            guard: self.clone(),
            ticket: Some(offered.ticket),
        };
        let Some(effect) = offered.effect else {
            return Ok(admitted);
        };
        match effect.await {
            Ok(Ok(())) => Ok(admitted),
            Ok(Err(refusal)) => {
                admitted.disarm();
                Err(refusal)
            }
            Err(_) => unreachable!("a queued ticket gets exactly one effect"),
        }
    }

    fn offer(&self, request: AdmissionRequest) -> Result<OfferedTicket, AdmissionRefusal> {
        let now = self.clock.now();
        let mut state = self.lock();
        let decision = state.guard.offer(now, request, &mut rand::rng());
        // The evicted call is notified first, since the new ticket may reuse the index of its ticket.
        state.deliver_effects();
        match decision {
            AdmissionDecision::Start(ticket) => Ok(OfferedTicket {
                ticket,
                effect: None,
            }),
            AdmissionDecision::Queued(ticket) => {
                let (sender, receiver) = oneshot::channel();
                state.waiters.insert(ticket, sender);
                Ok(OfferedTicket {
                    ticket,
                    effect: Some(receiver),
                })
            }
            AdmissionDecision::Refused(refusal) => Err(refusal),
        }
    }

    fn finish(&self, ticket: TicketKey, completion: CompletionKind) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.waiters.remove(ticket);
        state
            .guard
            .finish(now, ticket, completion, &mut rand::rng());
        state.deliver_effects();
    }

    /// Updates the limit and the threshold, and drops calls that have waited too long.
    pub(crate) fn tick(&self, now: TimePoint) {
        let mut state = self.lock();
        state.guard.tick(now, &mut rand::rng());
        state.deliver_effects();
    }

    /// Applies a change to the guard and delivers its effects.
    pub(crate) fn adjust<F, R>(&self, change: F) -> R
    where
        F: FnOnce(&mut AdmissionGuard<L>, TimePoint) -> R,
    {
        let now = self.clock.now();
        let mut state = self.lock();
        let result = change(&mut state.guard, now);
        state.deliver_effects();
        result
    }

    pub(crate) fn load(&self) -> GuardLoad {
        self.lock().guard.load()
    }

    fn lock(&self) -> MutexGuard<'_, GuardState<L>> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<L: ConcurrencyLimit> GuardState<L> {
    fn deliver_effects(&mut self) {
        while let Some(effect) = self.guard.next_effect() {
            let (ticket, result) = match effect {
                GuardEffect::Start(ticket) => (ticket, Ok(())),
                GuardEffect::Drop(ticket, refusal) => (ticket, Err(refusal)),
            };
            if let Some(sender) = self.waiters.remove(ticket) {
                // If the waiter was dropped, so was its ticket, which finishes the ticket.
                sender.send(result).ok();
            }
        }
    }
}

impl<L: ConcurrencyLimit> AdmittedTicket<L> {
    pub(crate) fn finish(mut self, completion: CompletionKind) {
        if let Some(ticket) = self.ticket.take() {
            self.guard.finish(ticket, completion);
        }
    }

    /// Drops the ticket without finishing it, since the guard has removed it already.
    fn disarm(mut self) {
        self.ticket = None;
    }
}

impl<L: ConcurrencyLimit> Drop for AdmittedTicket<L> {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket.take() {
            self.guard.finish(ticket, CompletionKind::Cancelled);
        }
    }
}
