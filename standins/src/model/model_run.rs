use {
    super::{
        CallSource, ClassResult, GuardEvents, LoadScenario, ModelCall, ModelGuard, RunResult,
        ServiceModel, service_model::ServicePlace,
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
/// Window of the recovery measure.
const RECOVERY_WINDOW: Duration = Duration::from_millis(200);
/// Answers of a window by weight, against its first tries, that count as recovered.
const ANSWERED_SHARE: f64 = 0.95;
/// First tries of a window with an answer, in %, that count as recovered.
const SERVED_PERCENT: usize = 99;
/// Calls offered so late in a run may have no answer when it ends.
const UNSETTLED_SPAN: Duration = Duration::from_secs(2);
/// Wait of a caller that does not heed when to come back.
const HARD_RETRY_WAIT: Duration = Duration::from_millis(100);
const MAX_RETRIES: u32 = 3;

/// Runs one scenario against one guard.
pub struct ModelRun<'a, G, E> {
    scenario: &'a LoadScenario,
    guard: G,
    events: &'a mut E,
    rng: SmallRng,
    source: CallSource<'a>,
    service: ServiceModel,
    agenda: BinaryHeap<Reverse<AgendaEntry>>,
    calls: Vec<CallRecord>,
    tickets: HashMap<TicketKey, usize>,
    most_in_flight: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct AgendaEntry {
    at: TimePoint,
    event: AgendaEvent,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum AgendaEvent {
    Tick,
    Arrival { class: usize },
    Return { call: usize },
    Deadline { call: usize },
}

#[derive(Clone, Copy, Debug)]
struct CallRecord {
    call: ModelCall,
    state: CallState,
}

#[derive(Clone, Copy, Debug)]
enum CallState {
    Queued { key: TicketKey },
    Running { key: TicketKey, place: ServicePlace },
    Served { at: TimePoint },
    Late,
    Refused { at: TimePoint },
}

impl<'a, G: ModelGuard, E: GuardEvents> ModelRun<'a, G, E> {
    pub fn new(scenario: &'a LoadScenario, guard: G, events: &'a mut E, seed: u64) -> Self {
        Self {
            scenario,
            guard,
            events,
            rng: SmallRng::seed_from_u64(seed),
            source: CallSource::new(scenario),
            service: ServiceModel::new(scenario.thrash),
            agenda: BinaryHeap::new(),
            calls: Vec::new(),
            tickets: HashMap::new(),
            most_in_flight: 0,
        }
    }

    /// Runs to the end of the scenario.
    #[must_use]
    pub fn run(mut self) -> RunResult {
        let end = TimePoint::ORIGIN + self.scenario.length();
        self.plan(TimePoint::ORIGIN, AgendaEvent::Tick);
        for class in 0..self.scenario.classes.len() {
            self.plan_arrival(TimePoint::ORIGIN, class);
        }
        while let Some(now) = self.next_time().filter(|&now| now < end) {
            self.step(now);
        }
        self.result()
    }

    fn plan(&mut self, at: TimePoint, event: AgendaEvent) {
        self.agenda.push(Reverse(AgendaEntry { at, event }));
    }

    fn plan_arrival(&mut self, now: TimePoint, class: usize) {
        if let Some(at) = self.source.next_arrival(now, class, &mut self.rng) {
            self.plan(at, AgendaEvent::Arrival { class });
        }
    }

    fn next_time(&self) -> Option<TimePoint> {
        let planned = self.agenda.peek().map(|entry| entry.0.at);
        let completion = self.service.next_completion();
        planned.into_iter().chain(completion).min()
    }

    fn step(&mut self, now: TimePoint) {
        if let Some(call) = self.service.complete(now) {
            self.complete(now, call);
            return;
        }
        let is_due = self.agenda.peek().is_some_and(|entry| entry.0.at <= now);
        if !is_due {
            return;
        }
        if let Some(Reverse(entry)) = self.agenda.pop() {
            self.act(now, entry.event);
        }
    }

    fn act(&mut self, now: TimePoint, event: AgendaEvent) {
        match event {
            AgendaEvent::Tick => self.tick(now),
            AgendaEvent::Arrival { class } => {
                let call = self.source.call(now, class, &mut self.rng);
                self.offer(now, call);
                self.plan_arrival(now, class);
            }
            AgendaEvent::Return { call } => {
                let call = self.source.again(now, &self.calls[call].call);
                self.offer(now, call);
            }
            AgendaEvent::Deadline { call } => self.expire(now, call),
        }
    }

    fn tick(&mut self, now: TimePoint) {
        if let Some((phase, passed)) = self.scenario.phase_at(now) {
            let warmth = &phase.warmth;
            let share = warmth.start + (warmth.end - warmth.start) * passed;
            let capacity = f64::from(self.scenario.capacity) * share;
            self.service.set_conditions(now, capacity, phase.slowdown);
            if let Some(utilization_percent) = phase.report {
                let report = LoadReport {
                    utilization_percent,
                };
                self.events.report_load(now, report);
                self.guard.report_load(now, report);
            }
        }
        self.events.tick(now);
        self.guard.tick(now, &mut self.rng);
        self.pull_effects(now);
        self.plan(now + TICK_PERIOD, AgendaEvent::Tick);
    }

    fn offer(&mut self, now: TimePoint, call: ModelCall) {
        let verdict = self.guard.offer(now, call.request, &mut self.rng);
        self.events.offer(now, &call.request, &verdict);
        let index = self.calls.len();
        self.calls.push(CallRecord {
            call,
            state: CallState::Refused { at: now },
        });
        match verdict {
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
        if !matches!(verdict, AdmissionDecision::Refused(_)) {
            let deadline = call.request.deadline;
            self.plan(deadline, AgendaEvent::Deadline { call: index });
        }
        self.pull_effects(now);
    }

    fn pull_effects(&mut self, now: TimePoint) {
        while let Some(effect) = self.guard.next_effect() {
            self.events.effect(&effect);
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
        self.most_in_flight = self.most_in_flight.max(load.in_flight);
    }

    fn start(&mut self, now: TimePoint, key: TicketKey) {
        let index = self.tickets[&key];
        let place = self.service.start(now, index, self.calls[index].call.work);
        self.calls[index].state = CallState::Running { key, place };
    }

    fn refuse(&mut self, now: TimePoint, index: usize, refusal: &AdmissionRefusal) {
        let record = &mut self.calls[index];
        record.state = CallState::Refused { at: now };
        if record.call.tries >= MAX_RETRIES {
            return;
        }
        let is_hard = self.rng.random_bool(self.scenario.hard_retries);
        let wait = if is_hard {
            HARD_RETRY_WAIT
        } else {
            refusal.retry_after
        };
        self.plan(now + wait, AgendaEvent::Return { call: index });
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
            CallState::Running { key, place } => {
                self.service.cancel(now, place);
                key
            }
            CallState::Served { .. } | CallState::Late | CallState::Refused { .. } => return,
        };
        self.calls[index].state = CallState::Late;
        self.finish(now, key, CompletionKind::Cancelled);
    }

    fn finish(&mut self, now: TimePoint, key: TicketKey, kind: CompletionKind) {
        self.tickets.remove(&key);
        self.events.finish(now, key, kind);
        self.guard.finish(now, key, kind, &mut self.rng);
        self.pull_effects(now);
    }

    fn result(&self) -> RunResult {
        let classes = self.class_results();
        RunResult {
            goodput_percent: self.goodput_percent(),
            weighted_percent: self.weighted_percent(&classes),
            answering: self.recovery(|window| self.is_answering_short(window)),
            recovery: self.recovery(|window| self.is_serving_short(window)),
            refused_before: self.refused_before(),
            most_in_flight: self.most_in_flight,
            classes,
        }
    }

    fn pressed_calls(&self) -> impl Iterator<Item = &CallRecord> {
        let span = self.scenario.pressure_span();
        self.calls
            .iter()
            .filter(move |record| span.contains(&record.call.offered))
    }

    fn class_results(&self) -> Vec<ClassResult> {
        let mut results = vec![ClassResult::default(); self.scenario.classes.len()];
        for record in self.pressed_calls() {
            let result = &mut results[record.call.class];
            let is_first = record.call.tries == 0;
            result.offered += u32::from(is_first);
            match record.state {
                CallState::Served { .. } => {
                    result.answered += 1;
                    result.served += u32::from(is_first);
                }
                CallState::Refused { .. } => result.refused += 1,
                CallState::Late => result.wasted += 1,
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

    /// Work that the target could do while the pressure lasted, in s.
    fn possible_work(&self) -> f64 {
        let phase = &self.scenario.phases[self.scenario.pressure];
        let warmth = f64::midpoint(phase.warmth.start, phase.warmth.end);
        let capacity = f64::from(self.scenario.capacity) * warmth / phase.slowdown;
        let possible = capacity * phase.length.as_secs_f64();
        let offered: f64 = self
            .pressed_calls()
            .filter(|record| record.call.tries == 0)
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
        100.0 * weigh(|result| result.answered) / weigh(|result| result.offered)
    }

    fn refused_before(&self) -> u32 {
        let start = self.scenario.pressure_span().start;
        let is_refused = |record: &&CallRecord| match record.state {
            CallState::Refused { at } => at < start,
            _ => false,
        };
        let count = self.calls.iter().filter(is_refused).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// From the end of the pressure to the last window in which `is_short` held.
    fn recovery(&self, is_short: impl Fn(&Range<TimePoint>) -> bool) -> Option<Duration> {
        let end = self.scenario.pressure_span().end;
        let run_end = TimePoint::ORIGIN + self.scenario.length();
        let mut recovered = Duration::ZERO;
        let mut start = end;
        while start + UNSETTLED_SPAN <= run_end {
            let window = start..start + RECOVERY_WINDOW;
            start = window.end;
            if is_short(&window) {
                recovered = window.end.since(end);
            }
        }
        (end + recovered < start).then_some(recovered)
    }

    /// Answers by weight are fewer than first tries.
    fn is_answering_short(&self, window: &Range<TimePoint>) -> bool {
        let weigh = |record: &CallRecord| self.scenario.classes[record.call.class].weight;
        let offered: u32 = self.first_tries(window).map(weigh).sum();
        let answered: u32 = self
            .calls
            .iter()
            .filter(|record| window.contains(&record.call.offered) && record.is_served())
            .map(weigh)
            .sum();
        f64::from(answered) < ANSWERED_SHARE * f64::from(offered)
    }

    /// Too many first tries had no answer.
    fn is_serving_short(&self, window: &Range<TimePoint>) -> bool {
        let offered = self.first_tries(window).count();
        let served = self
            .first_tries(window)
            .filter(|record| record.is_served())
            .count();
        served * 100 < offered * SERVED_PERCENT
    }

    fn first_tries(&self, window: &Range<TimePoint>) -> impl Iterator<Item = &CallRecord> {
        self.calls
            .iter()
            .filter(|record| record.call.tries == 0 && window.contains(&record.call.offered))
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
