use {
    super::{
        AdmissionDecision, AdmissionQueue, AdmissionRefusal, AdmissionRequest, AdmissionThreshold,
        CallOrder, CompletionKind, ConcurrencyLimit, DrainState, GuardEffect, GuardLoad,
        GuardSettings, LimitUsage, LoadReport, PriorityQueue, QueuedTicket, RefusalReason,
        ServiceSample, SojournMode, ThresholdMode, TicketKey,
        admission_threshold::QueueState,
        demand_table::DemandTable,
        service_time_estimate::ServiceTimeEstimate,
        sojourn_control::SojournControl,
        throughput_estimate::ThroughputEstimate,
        ticket_table::{CallTicket, TicketState, TicketTable},
    },
    crate::{policy::OverloadPolicy, time::TimePoint},
    rand::Rng,
    std::{collections::VecDeque, time::Duration},
};

/// The target delay of the queue is the time in which as many calls complete as the limit divided
/// by this number, so it grows with the service time.
const TARGET_COMPLETIONS_DIVISOR: u32 = 4;
/// Minimum number of completions that the target delay spans.
const MIN_TARGET_COMPLETIONS: u32 = 2;
/// Maximum wait of a call that others overtake; it is longer at a slow target, see
/// [`MAX_SOJOURN_TARGET_DELAYS`].
const MAX_SOJOURN: Duration = Duration::from_secs(1);
/// The same maximum in multiples of the target delay; the longer of the two applies.
const MAX_SOJOURN_TARGET_DELAYS: u32 = 10;
/// A call that others overtake waits at most the time until its deadline divided by this number.
const SOJOURN_DEADLINE_DIVISOR: u32 = 4;
/// While the target completes no call, a call waits at most the time until its deadline divided
/// by this number.
const STALL_DEADLINE_DIVISOR: u32 = 2;
/// Minimum interval after which a queue counts as standing, in multiples of the target delay.
const MIN_INTERVAL_TARGET_DELAYS: u32 = 4;

/// Decides which calls one target runs and when they start.
#[derive(Clone, Debug)]
pub struct AdmissionGuard<L, Q = PriorityQueue> {
    settings: GuardSettings,
    state: DrainState,
    limit: L,
    queue: Q,
    tickets: TicketTable,
    in_flight: u32,
    /// When a call last completed at the target.
    last_completed_at: TimePoint,
    threshold: AdmissionThreshold,
    sojourn: SojournControl,
    demand: DemandTable,
    service_time: ServiceTimeEstimate,
    throughput: ThroughputEstimate,
    /// Whether as many calls as the limit allows ran at some time since the last tick.
    was_saturated: bool,
    queue_delay: Duration,
    effects: VecDeque<GuardEffect>,
}

impl<L: ConcurrencyLimit, Q: AdmissionQueue> AdmissionGuard<L, Q> {
    #[must_use]
    pub fn new(settings: GuardSettings, now: TimePoint) -> Self {
        Self {
            settings,
            state: DrainState::Serving,
            limit: L::new(now, settings.slots),
            queue: Q::default(),
            tickets: TicketTable::default(),
            in_flight: 0,
            last_completed_at: now,
            threshold: AdmissionThreshold::new(now),
            sojourn: SojournControl::default(),
            demand: DemandTable::new(now),
            service_time: ServiceTimeEstimate::default(),
            throughput: ThroughputEstimate::new(now),
            was_saturated: false,
            queue_delay: Duration::ZERO,
            effects: VecDeque::new(),
        }
    }

    /// Checks whether [`offer`](Self::offer) would refuse a call now, without starting or queuing
    /// it. A refused call is counted as by `offer`, an accepted one is not.
    ///
    /// # Errors
    /// Returns the refusal that `offer` would return.
    pub fn check<R: Rng + ?Sized>(
        &mut self,
        now: TimePoint,
        request: &AdmissionRequest,
        rng: &mut R,
    ) -> Result<(), AdmissionRefusal> {
        let Some(reason) = self.refusal_reason(now, request) else {
            return Ok(());
        };
        let service_time = self.service_time.mean_time(request.priority.rank());
        self.demand.record(request.priority, service_time);
        Err(self.refusal(reason, rng))
    }

    /// Starts, queues or refuses a new call.
    pub fn offer<R: Rng + ?Sized>(
        &mut self,
        now: TimePoint,
        request: AdmissionRequest,
        rng: &mut R,
    ) -> AdmissionDecision {
        let service_time = self.service_time.mean_time(request.priority.rank());
        self.demand.record(request.priority, service_time);
        if let Some(reason) = self.refusal_reason(now, &request) {
            return AdmissionDecision::Refused(self.refusal(reason, rng));
        }
        if self.in_flight < self.limit.limit() {
            let ticket = CallTicket {
                request,
                state: TicketState::Running { started_at: now },
            };
            self.record_start();
            return AdmissionDecision::Start(self.tickets.insert(ticket));
        }
        if !self.make_room(CallOrder::of(&request), rng) {
            return AdmissionDecision::Refused(self.refusal(RefusalReason::QueueFull, rng));
        }
        let key = self.tickets.insert(CallTicket {
            request,
            state: TicketState::Queued,
        });
        self.queue.push(QueuedTicket::new(now, key, &request));
        AdmissionDecision::Queued(key)
    }

    /// Ends a running call or cancels a queued one. A ticket that no longer exists is ignored.
    pub fn finish<R: Rng + ?Sized>(
        &mut self,
        now: TimePoint,
        key: TicketKey,
        kind: CompletionKind,
        rng: &mut R,
    ) {
        let Some(ticket) = self.tickets.remove(key) else {
            return;
        };
        match ticket.state {
            TicketState::Queued => {
                self.queue.remove(key);
            }
            TicketState::Running { started_at } => {
                self.in_flight -= 1;
                self.throughput.record_completion();
                self.last_completed_at = now;
                let sample = ServiceSample {
                    started_at,
                    finished_at: now,
                    rank: ticket.request.priority.rank(),
                    kind,
                };
                if kind != CompletionKind::Streamed {
                    self.service_time.observe(&sample);
                    self.limit.observe(&sample);
                }
            }
        }
        self.start_queued(now, rng);
    }

    /// Updates the limit and the threshold, and drops calls that have waited too long.
    pub fn tick<R: Rng + ?Sized>(&mut self, now: TimePoint, rng: &mut R) {
        self.limit.tick(
            now,
            LimitUsage {
                in_flight: self.in_flight,
                queued: self.queued(),
            },
        );
        self.throughput.tick(now, self.was_saturated);
        self.was_saturated = self.in_flight >= self.limit.limit();
        self.demand.tick(now);
        self.drop_expired(now, rng);
        self.drop_from_standing_queue(now, rng);
        self.start_queued(now, rng);
        self.adjust_threshold(now);
    }

    /// Applies a newly announced number of slots.
    pub fn set_slots(&mut self, now: TimePoint, slots: u32) {
        self.settings = GuardSettings {
            slots,
            queue_capacity: GuardSettings::queue_capacity_of(slots),
            ..self.settings
        };
        self.limit.set_slots(now, slots);
    }

    /// Applies a new policy; the modes of the threshold and the queue stay.
    pub fn set_policy(&mut self, policy: &OverloadPolicy) {
        self.settings = GuardSettings {
            threshold: self.settings.threshold,
            sojourn: self.settings.sojourn,
            ..GuardSettings::new(self.settings.slots, policy)
        };
    }

    pub fn set_state(&mut self, state: DrainState) {
        self.state = state;
    }

    pub fn report_load(&mut self, now: TimePoint, report: LoadReport) {
        self.limit.report_load(now, report);
    }

    /// Next effect on a queued call, oldest first. Call it after each other method until it returns
    /// `None`.
    pub fn next_effect(&mut self) -> Option<GuardEffect> {
        while let Some(effect) = self.effects.pop_front() {
            let is_cancelled = match effect {
                GuardEffect::Start(key) => !self.tickets.contains_key(key),
                GuardEffect::Drop(..) => false,
            };
            if !is_cancelled {
                return Some(effect);
            }
        }
        None
    }

    #[must_use]
    pub fn load(&self) -> GuardLoad {
        let limit = self.limit.limit();
        let busy = u64::from(self.in_flight) + u64::from(self.queued());
        let utilization = busy * 100 / u64::from(limit);
        GuardLoad {
            threshold: self.threshold.lowest(),
            utilization_percent: u8::try_from(utilization).unwrap_or(u8::MAX),
            in_flight: self.in_flight,
            limit,
            queued: self.queued(),
            queue_delay: self.queue_delay,
        }
    }

    fn queued(&self) -> u32 {
        u32::try_from(self.queue.len()).unwrap_or(u32::MAX)
    }

    fn refusal_reason(&self, now: TimePoint, request: &AdmissionRequest) -> Option<RefusalReason> {
        if self.state == DrainState::Draining {
            return Some(RefusalReason::Draining);
        }
        if !self.threshold.is_admitted(request) {
            return Some(RefusalReason::BelowThreshold);
        }
        let calls_ahead = self.queue.count_preceding(CallOrder::of(request));
        let wait = self
            .throughput
            .completion_time(u32::try_from(calls_ahead).unwrap_or(u32::MAX));
        let service_time = self
            .service_time
            .expected_time(now, request.priority.rank());
        if now + wait + service_time > request.deadline {
            return Some(RefusalReason::DeadlineTooNear);
        }
        None
    }

    fn refusal<R: Rng + ?Sized>(&mut self, reason: RefusalReason, rng: &mut R) -> AdmissionRefusal {
        self.throughput.record_refusal();
        AdmissionRefusal {
            reason,
            retry_after: self.throughput.retry_after(self.queued(), rng),
        }
    }

    /// Evicts the last call of a full queue if the new call precedes it; returns whether the queue
    /// has room.
    fn make_room<R: Rng + ?Sized>(&mut self, order: CallOrder, rng: &mut R) -> bool {
        if self.queued() < self.settings.queue_capacity {
            return true;
        }
        let is_evicted = self
            .queue
            .last()
            .is_some_and(|last| self.queue.precedes(order, &last));
        if is_evicted {
            self.drop_last(RefusalReason::QueueFull, rng);
        }
        is_evicted
    }

    fn drop_last<R: Rng + ?Sized>(&mut self, reason: RefusalReason, rng: &mut R) {
        if let Some(last) = self.queue.pop_last() {
            self.drop_ticket(last.key, reason, rng);
        }
    }

    fn drop_ticket<R: Rng + ?Sized>(&mut self, key: TicketKey, reason: RefusalReason, rng: &mut R) {
        self.tickets.remove(key);
        let refusal = self.refusal(reason, rng);
        self.effects.push_back(GuardEffect::Drop(key, refusal));
    }

    fn record_start(&mut self) {
        self.in_flight += 1;
        self.was_saturated |= self.in_flight >= self.limit.limit();
    }

    fn start_queued<R: Rng + ?Sized>(&mut self, now: TimePoint, rng: &mut R) {
        while self.in_flight < self.limit.limit() {
            let Some(first) = self.queue.pop_first() else {
                break;
            };
            if self.misses_deadline(now, &first) {
                self.drop_ticket(first.key, RefusalReason::DeadlineTooNear, rng);
                continue;
            }
            if let Some(ticket) = self.tickets.get_mut(first.key) {
                ticket.state = TicketState::Running { started_at: now };
                self.record_start();
                self.effects.push_back(GuardEffect::Start(first.key));
            }
        }
    }

    fn misses_deadline(&self, now: TimePoint, ticket: &QueuedTicket) -> bool {
        now + self.service_time.expected_time(now, ticket.order.rank()) > ticket.deadline
    }

    /// Drops queued calls that cannot meet their deadline, that have waited too long while others
    /// overtook them, or that wait for a target that completes no calls.
    fn drop_expired<R: Rng + ?Sized>(&mut self, now: TimePoint, rng: &mut R) {
        let dropped: Vec<(TicketKey, RefusalReason)> = self
            .queue
            .iter()
            .filter_map(|ticket| Some((ticket.key, self.drop_reason(now, ticket)?)))
            .collect();
        for (key, reason) in dropped {
            self.queue.remove(key);
            self.drop_ticket(key, reason, rng);
        }
    }

    fn drop_reason(&self, now: TimePoint, ticket: &QueuedTicket) -> Option<RefusalReason> {
        if self.misses_deadline(now, ticket) {
            Some(RefusalReason::DeadlineTooNear)
        } else if self.settings.sojourn == SojournMode::Unbounded {
            None
        } else if self.is_starved(now, ticket) || self.is_stalled(now, ticket) {
            Some(RefusalReason::Sojourn)
        } else {
            None
        }
    }

    /// Whether the target has completed no call for a large part of this call's time until its
    /// deadline.
    fn is_stalled(&self, now: TimePoint, ticket: &QueuedTicket) -> bool {
        let max_wait = ticket.queued_at.until(ticket.deadline) / STALL_DEADLINE_DIVISOR;
        now.since(self.last_completed_at.max(ticket.queued_at)) > max_wait
    }

    /// Whether a call has exceeded its maximum wait while calls of a higher class precede it.
    fn is_starved(&self, now: TimePoint, ticket: &QueuedTicket) -> bool {
        let first = self.queue.first();
        let is_overtaken = first.is_some_and(|first| first.order.rank() > ticket.order.rank());
        let max_wait = ticket.queued_at.until(ticket.deadline) / SOJOURN_DEADLINE_DIVISOR;
        let max_sojourn = MAX_SOJOURN.max(self.target_delay() * MAX_SOJOURN_TARGET_DELAYS);
        is_overtaken
            && !self.limit.is_ramping()
            && now.since(ticket.queued_at) > max_wait.min(max_sojourn)
    }

    /// Drops the last calls of a queue whose delay persists above its target, at the rate of the
    /// control law.
    fn drop_from_standing_queue<R: Rng + ?Sized>(&mut self, now: TimePoint, rng: &mut R) {
        if self.limit.is_ramping() {
            return;
        }
        let target = self.target_delay();
        let interval = self
            .settings
            .queue_interval
            .max(target * MIN_INTERVAL_TARGET_DELAYS);
        loop {
            let delay = self.throughput.completion_time(self.queued());
            if !self.sojourn.is_drop_due(now, delay, target, interval) {
                break;
            }
            if self.settings.sojourn == SojournMode::Unbounded {
                break;
            }
            self.drop_last(RefusalReason::Sojourn, rng);
        }
    }

    fn adjust_threshold(&mut self, now: TimePoint) {
        self.queue_delay = self.throughput.completion_time(self.queued());
        if self.settings.threshold == ThresholdMode::AdmitAll {
            return;
        }
        let queue_state = QueueState {
            delay: self.queue_delay,
            target: self.target_delay(),
            is_standing: self.sojourn.is_standing(now),
            limit: self.limit.limit(),
        };
        self.threshold.tick(now, queue_state, &self.demand);
    }

    /// Queue delay above which the target counts as overloaded. It spans a few completions, because
    /// a slow target frees a slot rarely and waiting for the next free slots is not overload.
    fn target_delay(&self) -> Duration {
        let completions =
            (self.limit.limit() / TARGET_COMPLETIONS_DIVISOR).max(MIN_TARGET_COMPLETIONS);
        let wait = self.throughput.completion_time(completions);
        self.settings.queue_target.max(wait)
    }
}
