use {
    super::{
        CallSource, ClassResult, GuardObserver, LoadScenario, ModelCall, ModelGuard, RunResult,
        ServiceModel, service_model::ServiceHandle,
    },
    banyantrestle::{
        admission::{
            AdmissionDecision, AdmissionRefusal, CompletionKind, GuardEffect, LoadReport, TicketKey,
        },
        time::TimePoint,
    },
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::{
        cmp::Reverse,
        collections::{BinaryHeap, HashMap},
        ops::Range,
        time::Duration,
    },
};

const TICK_PERIOD: Duration = Duration::from_millis(10);
/// Length of the windows over which recovery is evaluated.
const RECOVERY_WINDOW: Duration = Duration::from_millis(200);
/// Least served attempts of a recovered window relative to its first attempts, both by weight.
const RECOVERED_THROUGHPUT_RATIO: f64 = 0.95;
/// Least share of the first attempts of a recovered window that are served, in %.
const RECOVERED_SERVED_PERCENT: usize = 99;
/// Calls offered this late in a run may be unfinished at its end and are not evaluated.
const UNSETTLED_SPAN: Duration = Duration::from_secs(2);
/// Delay of a caller that ignores the time in `Retry-After`.
const EAGER_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Retries of one call after its first attempt.
const MAX_RETRIES: u32 = 3;

/// Runs one scenario against one guard.
pub struct ModelRun<'a, G, E> {
    scenario: &'a LoadScenario,
    guard: G,
    observer: &'a mut E,
    rng: SmallRng,
    source: CallSource<'a>,
    service: ServiceModel,
    event_queue: BinaryHeap<Reverse<ScheduledEvent>>,
    calls: Vec<CallRecord>,
    tickets: HashMap<TicketKey, usize>,
    max_in_flight: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ScheduledEvent {
    at: TimePoint,
    event: ModelEvent,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ModelEvent {
    Tick,
    Arrival { class: usize },
    Retry { call: usize },
    Deadline { call: usize },
}

#[derive(Clone, Copy, Debug)]
struct CallRecord {
    call: ModelCall,
    state: CallState,
}

#[derive(Clone, Copy, Debug)]
enum CallState {
    Queued {
        key: TicketKey,
    },
    Running {
        key: TicketKey,
        handle: ServiceHandle,
    },
    Served {
        at: TimePoint,
    },
    Expired,
    Refused {
        at: TimePoint,
    },
}

impl<'a, G: ModelGuard, E: GuardObserver> ModelRun<'a, G, E> {
    pub fn new(scenario: &'a LoadScenario, guard: G, observer: &'a mut E, seed: u64) -> Self {
        Self {
            scenario,
            guard,
            observer,
            rng: SmallRng::seed_from_u64(seed),
            source: CallSource::new(scenario),
            service: ServiceModel::new(scenario.excess_slowdown),
            event_queue: BinaryHeap::new(),
            calls: Vec::new(),
            tickets: HashMap::new(),
            max_in_flight: 0,
        }
    }

    /// Runs to the end of the scenario.
    #[must_use]
    pub fn run(mut self) -> RunResult {
        let run_end = TimePoint::ORIGIN + self.scenario.length();
        self.schedule(TimePoint::ORIGIN, ModelEvent::Tick);
        for class in 0..self.scenario.classes.len() {
            self.schedule_arrival(TimePoint::ORIGIN, class);
        }
        while let Some(now) = self.next_time().filter(|&now| now < run_end) {
            self.step(now);
        }
        self.result()
    }

    fn schedule(&mut self, at: TimePoint, event: ModelEvent) {
        self.event_queue.push(Reverse(ScheduledEvent { at, event }));
    }

    fn schedule_arrival(&mut self, now: TimePoint, class: usize) {
        if let Some(at) = self.source.next_arrival(now, class, &mut self.rng) {
            self.schedule(at, ModelEvent::Arrival { class });
        }
    }

    fn next_time(&self) -> Option<TimePoint> {
        let scheduled = self.event_queue.peek().map(|entry| entry.0.at);
        let completion = self.service.next_completion();
        scheduled.into_iter().chain(completion).min()
    }

    fn step(&mut self, now: TimePoint) {
        if let Some(call) = self.service.complete(now) {
            self.complete(now, call);
            return;
        }
        let is_due = self
            .event_queue
            .peek()
            .is_some_and(|entry| entry.0.at <= now);
        if !is_due {
            return;
        }
        if let Some(Reverse(entry)) = self.event_queue.pop() {
            self.handle_event(now, entry.event);
        }
    }

    fn handle_event(&mut self, now: TimePoint, event: ModelEvent) {
        match event {
            ModelEvent::Tick => self.tick(now),
            ModelEvent::Arrival { class } => {
                let call = self.source.new_call(now, class, &mut self.rng);
                self.offer(now, call);
                self.schedule_arrival(now, class);
            }
            ModelEvent::Retry { call } => {
                let call = self.source.retry(now, &self.calls[call].call);
                self.offer(now, call);
            }
            ModelEvent::Deadline { call } => self.expire(now, call),
        }
    }

    fn tick(&mut self, now: TimePoint) {
        if let Some((phase, passed)) = self.scenario.phase_at(now) {
            let available = &phase.available_capacity;
            let share = available.start + (available.end - available.start) * passed;
            let capacity = f64::from(self.scenario.capacity) * share;
            self.service.set_conditions(now, capacity, phase.slowdown);
            if let Some(utilization_percent) = phase.reported_utilization_percent {
                let report = LoadReport {
                    utilization_percent,
                };
                self.observer.report_load(now, report);
                self.guard.report_load(now, report);
            }
        }
        self.observer.tick(now);
        self.guard.tick(now, &mut self.rng);
        self.apply_effects(now);
        self.schedule(now + TICK_PERIOD, ModelEvent::Tick);
    }

    fn offer(&mut self, now: TimePoint, call: ModelCall) {
        let decision = self.guard.offer(now, call.request, &mut self.rng);
        self.observer.offer(now, &call.request, &decision);
        let index = self.calls.len();
        self.calls.push(CallRecord {
            call,
            state: CallState::Refused { at: now },
        });
        match decision {
            AdmissionDecision::Start(key) => {
                self.tickets.insert(key, index);
                self.start(now, key);
            }
            AdmissionDecision::Queued(key) => {
                self.tickets.insert(key, index);
                self.calls[index].state = CallState::Queued { key };
            }
            AdmissionDecision::Refused(refusal) => self.refuse(now, index, &refusal),
        }
        if !matches!(decision, AdmissionDecision::Refused(_)) {
            let deadline = call.request.deadline;
            self.schedule(deadline, ModelEvent::Deadline { call: index });
        }
        self.apply_effects(now);
    }

    fn apply_effects(&mut self, now: TimePoint) {
        while let Some(effect) = self.guard.next_effect() {
            self.observer.effect(&effect);
            match effect {
                GuardEffect::Start(key) => self.start(now, key),
                GuardEffect::Drop(key, refusal) => {
                    if let Some(index) = self.tickets.remove(&key) {
                        self.refuse(now, index, &refusal);
                    }
                }
            }
        }
        let load = self.guard.load();
        self.max_in_flight = self.max_in_flight.max(load.in_flight);
    }

    fn start(&mut self, now: TimePoint, key: TicketKey) {
        let index = self.tickets[&key];
        let handle = self.service.start(now, index, self.calls[index].call.work);
        self.calls[index].state = CallState::Running { key, handle };
    }

    fn refuse(&mut self, now: TimePoint, index: usize, refusal: &AdmissionRefusal) {
        let record = &mut self.calls[index];
        record.state = CallState::Refused { at: now };
        if record.call.previous_attempts >= MAX_RETRIES {
            return;
        }
        let is_eager = self.rng.random_bool(self.scenario.eager_retry_ratio);
        let delay = if is_eager {
            EAGER_RETRY_DELAY
        } else {
            refusal.retry_after
        };
        self.schedule(now + delay, ModelEvent::Retry { call: index });
    }

    fn complete(&mut self, now: TimePoint, index: usize) {
        if let CallState::Running { key, .. } = self.calls[index].state {
            self.calls[index].state = CallState::Served { at: now };
            self.finish(now, key, CompletionKind::Success);
        }
    }

    fn expire(&mut self, now: TimePoint, index: usize) {
        let key = match self.calls[index].state {
            CallState::Queued { key } => key,
            CallState::Running { key, handle } => {
                self.service.cancel(now, handle);
                key
            }
            CallState::Served { .. } | CallState::Expired | CallState::Refused { .. } => return,
        };
        self.calls[index].state = CallState::Expired;
        self.finish(now, key, CompletionKind::Cancelled);
    }

    fn finish(&mut self, now: TimePoint, key: TicketKey, kind: CompletionKind) {
        self.tickets.remove(&key);
        self.observer.finish(now, key, kind);
        self.guard.finish(now, key, kind, &mut self.rng);
        self.apply_effects(now);
    }

    fn result(&self) -> RunResult {
        let classes = self.class_results();
        RunResult {
            goodput_percent: self.goodput_percent(),
            weighted_percent: self.weighted_percent(&classes),
            throughput_recovery: self.recovery_time(|window| self.is_throughput_short(window)),
            full_recovery: self.recovery_time(|window| self.is_service_short(window)),
            refused_before_pressure: self.refused_before_pressure(),
            max_in_flight: self.max_in_flight,
            classes,
        }
    }

    fn calls_under_pressure(&self) -> impl Iterator<Item = &CallRecord> {
        let span = self.scenario.pressure_span();
        self.calls
            .iter()
            .filter(move |record| span.contains(&record.call.offered_at))
    }

    fn class_results(&self) -> Vec<ClassResult> {
        let mut results = vec![ClassResult::default(); self.scenario.classes.len()];
        for record in self.calls_under_pressure() {
            let result = &mut results[record.call.class];
            let is_first = record.call.previous_attempts == 0;
            result.offered += u32::from(is_first);
            match record.state {
                CallState::Served { .. } => {
                    result.served_attempts += 1;
                    result.served_first_attempts += u32::from(is_first);
                }
                CallState::Refused { .. } => result.refused += 1,
                CallState::Expired => result.wasted += 1,
                CallState::Queued { .. } | CallState::Running { .. } => {}
            }
        }
        results
    }

    fn goodput_percent(&self) -> f64 {
        let span = self.scenario.pressure_span();
        let served: f64 = self
            .calls
            .iter()
            .filter(|record| record.served_in(&span))
            .map(|record| record.call.work.as_secs_f64())
            .sum();
        100.0 * served / self.possible_work()
    }

    /// Offered work that the target could do during the pressure phase, in s.
    fn possible_work(&self) -> f64 {
        let phase = &self.scenario.phases[self.scenario.pressure_phase];
        let available = f64::midpoint(phase.available_capacity.start, phase.available_capacity.end);
        let capacity = f64::from(self.scenario.capacity) * available / phase.slowdown;
        let possible = capacity * phase.length.as_secs_f64();
        let offered: f64 = self
            .calls_under_pressure()
            .filter(|record| record.call.previous_attempts == 0)
            .map(|record| record.call.work.as_secs_f64())
            .sum();
        possible.min(offered)
    }

    fn weighted_percent(&self, results: &[ClassResult]) -> f64 {
        let weigh = |count: fn(&ClassResult) -> u32| -> f64 {
            self.scenario
                .classes
                .iter()
                .zip(results)
                .map(|(class, result)| f64::from(class.weight) * f64::from(count(result)))
                .sum()
        };
        100.0 * weigh(|result| result.served_attempts) / weigh(|result| result.offered)
    }

    fn refused_before_pressure(&self) -> u32 {
        let start = self.scenario.pressure_span().start;
        let is_refused = |record: &&CallRecord| match record.state {
            CallState::Refused { at } => at < start,
            _ => false,
        };
        let count = self.calls.iter().filter(is_refused).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Time from the end of the pressure phase to the end of the last window in which `is_short`
    /// holds; `None` if it holds in the last window that is evaluated.
    fn recovery_time(&self, is_short: impl Fn(&Range<TimePoint>) -> bool) -> Option<Duration> {
        let pressure_end = self.scenario.pressure_span().end;
        let run_end = TimePoint::ORIGIN + self.scenario.length();
        let mut recovered = Duration::ZERO;
        let mut start = pressure_end;
        while start + UNSETTLED_SPAN <= run_end {
            let window = start..start + RECOVERY_WINDOW;
            start = window.end;
            if is_short(&window) {
                recovered = window.end.since(pressure_end);
            }
        }
        (pressure_end + recovered < start).then_some(recovered)
    }

    /// Whether the attempts served, by weight, are too few for the first attempts.
    fn is_throughput_short(&self, window: &Range<TimePoint>) -> bool {
        let weigh = |record: &CallRecord| self.scenario.classes[record.call.class].weight;
        let offered: u32 = self.first_attempts(window).map(weigh).sum();
        let served: u32 = self
            .calls
            .iter()
            .filter(|record| window.contains(&record.call.offered_at) && record.is_served())
            .map(weigh)
            .sum();
        f64::from(served) < RECOVERED_THROUGHPUT_RATIO * f64::from(offered)
    }

    /// Whether too few first attempts are served.
    fn is_service_short(&self, window: &Range<TimePoint>) -> bool {
        let offered = self.first_attempts(window).count();
        let served = self
            .first_attempts(window)
            .filter(|record| record.is_served())
            .count();
        served * 100 < offered * RECOVERED_SERVED_PERCENT
    }

    fn first_attempts(&self, window: &Range<TimePoint>) -> impl Iterator<Item = &CallRecord> {
        self.calls.iter().filter(|record| {
            record.call.previous_attempts == 0 && window.contains(&record.call.offered_at)
        })
    }
}

impl CallRecord {
    fn is_served(&self) -> bool {
        matches!(self.state, CallState::Served { .. })
    }

    fn served_in(&self, span: &Range<TimePoint>) -> bool {
        match self.state {
            CallState::Served { at } => span.contains(&at),
            _ => false,
        }
    }
}
