//! Simulation of a call graph under load, in logical time.
//!
//! Requests of several kinds arrive at the ingress sidecars. Each request makes calls, one after
//! another, to one service three levels down, whose targets differ in speed. Demand, targets and
//! ingress sidecars may change while it runs.

use {
    crate::members::{member, peer_address},
    banyantrestle::{
        context::ServiceName,
        membership::{MemberView, TargetState},
        sidecar::{
            AttemptHistory, AttemptOutcome, EndedRequest, IngressAdmission, IngressRefusal,
            LeastService, NextStep, PeerOutcome, PeerTable, QueueKey, QueuedCall, RateStatement,
            RetryLimits, RetryRequest, SlotDecision, SlotOutcome, SlotScheduler, TargetRetryBudget,
            TreeCost, TriedTargets,
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

const TICK: Duration = Duration::from_millis(50);
/// Time after the start during which requests are not counted.
const WARM_UP: Duration = Duration::from_secs(2);
/// Time that a target takes to refuse a call without running it.
const REFUSAL_TIME: Duration = Duration::from_millis(2);
/// Time after which a call is sent again that the rate limits of all targets have refused.
const RATE_LIMIT_DELAY: Duration = Duration::from_millis(50);
/// Maximum number of targets that one call may reach.
const MAX_TARGETS: u32 = 2;
/// Retry limits of the Kererū and Kita deployments.
pub const RETRY_LIMITS: RetryLimits = RetryLimits {
    ratio: 0.2,
    window: Duration::from_secs(10),
    slack: 50.0,
};
/// Length of the intervals in which attempts are counted, in ms.
const COUNT_INTERVAL_MS: u128 = 100;
/// Time before the end from which arriving requests are not counted, so that counted ones can end.
const COOL_DOWN: Duration = Duration::from_secs(5);
/// Length of the intervals in which requests are counted by kind.
pub const REPORT_INTERVAL: Duration = Duration::from_secs(10);
/// Time after which an impatient caller comes back.
const IMPATIENT_PAUSE: Duration = Duration::from_millis(5);
/// Pressure below which the deepest service has free slots.
const IDLE_PRESSURE: f64 = 0.9;
/// Time with free slots after which a refusal counts as needless.
const IDLE_TIME: Duration = Duration::from_millis(300);

/// Parameters of one kind of request.
#[derive(Clone, Copy, Debug)]
pub struct RequestKind {
    pub name: &'static str,
    pub rank: u8,
    pub per_second: f64,
    /// Number of calls to the deepest service, one after another.
    pub calls: u32,
    pub call_ms: f64,
    /// Mean time in ms before each call to the deepest service.
    pub gap_ms: f64,
    pub timeout_ms: u64,
}

/// Counts of the requests of one kind.
#[derive(Clone, Copy, Debug, Default)]
pub struct KindResult {
    pub arrived: u32,
    pub admitted: u32,
    pub completed: u32,
}

/// Requests of one kind that arrived in one interval, and those of them that were served.
#[derive(Clone, Copy, Debug, Default)]
pub struct KindInterval {
    pub arrived: u32,
    pub completed: u32,
}

/// What callers do whose request was refused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReturnHabit {
    /// They come back when they were told to.
    #[default]
    AsTold,
    /// They come back after [`IMPATIENT_PAUSE`], whatever they were told.
    AtOnce,
}

/// State of the deepest service at one tick.
#[derive(Clone, Copy, Debug)]
pub struct PressureSample {
    pub at: TimePoint,
    /// Running and queued calls divided by the concurrency limit.
    pub pressure: f64,
}

#[derive(Debug, Default)]
pub struct SimulationResult {
    pub kinds: Vec<KindResult>,
    /// Slot seconds used at the deepest service, in total and for requests that completed.
    pub used_slot_seconds: f64,
    pub useful_slot_seconds: f64,
    /// Slot seconds that its targets offered.
    pub available_slot_seconds: f64,
    /// First attempts and retries that reached the targets, per 100 ms.
    pub attempts: Vec<(u32, u32)>,
    pub samples: Vec<PressureSample>,
    /// By kind, then by [`REPORT_INTERVAL`] of the arrival.
    pub intervals: Vec<Vec<KindInterval>>,
    /// Refusals while the deepest service had free slots for some time.
    pub needless_refusals: u32,
    /// Requests served and arrived by ingress sidecar.
    pub ingresses: Vec<(u32, u32)>,
}

/// Fleet and seed of a simulation.
#[derive(Clone, Debug)]
pub struct SimulationSetup {
    pub kinds: Vec<RequestKind>,
    /// Slots of each target of the deepest service.
    pub slots: u32,
    pub target_speeds: Vec<f64>,
    pub ingresses: usize,
    /// Weight of each ingress sidecar in the choice where a request arrives; if empty, all are
    /// alike.
    pub ingress_weights: Vec<f64>,
    /// Sidecars that call the deepest service.
    pub callers: usize,
    /// Share of the refused callers that come back once, as told.
    pub returning_share: f64,
    pub return_habit: ReturnHabit,
    /// Slowdown of targets that are nearly full.
    pub crowding: Option<Crowding>,
    pub least_service: LeastService,
    pub changes: Vec<(Duration, SimulationChange)>,
    pub seed: u64,
}

/// Slowdown of a target that is nearly full.
#[derive(Clone, Copy, Debug)]
pub struct Crowding {
    /// Share of the slots in use from which calls take longer.
    pub utilization: f64,
    /// Factor of their service times.
    pub factor: f64,
}

/// Change at a point of the simulated time.
#[derive(Clone, Copy, Debug)]
pub enum SimulationChange {
    /// Factor of the usual number of requests.
    Demand(f64),
    /// The target leaves or comes back.
    Serving { target: usize, is_serving: bool },
    /// Factor of the service times of a target.
    Slowdown { target: usize, factor: f64 },
    /// The target names a limit in calls per second from now on, or none.
    RateLimit { target: usize, limit: Option<f64> },
    /// The ingress sidecar restarts and knows nothing.
    Restart { ingress: usize },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SimulationEvent {
    Arrive(usize),
    /// Kind and ingress sidecar of a caller that comes back.
    Return(usize, usize),
    Call(usize),
    /// Index of the request, index of the target, start of the call, index of the caller.
    Complete(usize, usize, TimePoint, usize),
    /// Fields as in `Complete`.
    Refuse(usize, usize, TimePoint, usize),
    Tick,
    Change(usize),
}

#[derive(Debug)]
struct SimulatedRequest {
    kind: usize,
    rank: u8,
    is_lifted: bool,
    ingress: usize,
    start: TimePoint,
    remaining_calls: u32,
    used_slot_seconds: f64,
    tree_cost: TreeCost,
    is_unmeasured: bool,
    /// Attempts of the current call.
    history: AttemptHistory,
    tried: TriedTargets,
}

impl SimulatedRequest {
    /// The request at its end; `rank` is the rank of its kind.
    fn end(&self, rank: u8, is_served: bool) -> EndedRequest {
        EndedRequest {
            rank,
            is_lifted: self.is_lifted,
            is_served,
        }
    }
}

pub struct LoadSimulation {
    setup: SimulationSetup,
    pub now: TimePoint,
    started_at: TimePoint,
    events: BinaryHeap<Reverse<(TimePoint, u64, SimulationEvent)>>,
    sequence: u64,
    rng: SmallRng,
    demand_factor: f64,
    ingresses: Vec<IngressAdmission>,
    callers: Vec<PeerTable>,
    schedulers: Vec<SlotScheduler>,
    serving: Vec<bool>,
    pub slowdowns: Vec<f64>,
    rate_limits: Vec<Option<f64>>,
    pub measured_from: TimePoint,
    /// Share of calls that every target refuses without running them, and the period in which it
    /// does.
    pub refusals: (f64, Range<TimePoint>),
    retry_budgets: Vec<TargetRetryBudget>,
    queued: Vec<HashMap<QueueKey, (usize, usize)>>,
    requests: Vec<SimulatedRequest>,
    has_slots_since: TimePoint,
    result: SimulationResult,
}

pub fn service() -> ServiceName {
    ServiceName::new("deep").expect("a valid name")
}

impl SimulationSetup {
    /// 18 ingress sidecars, and four targets of different speeds at the deepest service.
    pub fn new(kinds: &[RequestKind], slots: u32, seed: u64) -> Self {
        Self {
            kinds: kinds.into(),
            slots,
            target_speeds: vec![0.7, 0.7, 1.0, 1.6],
            ingresses: 18,
            ingress_weights: Vec::new(),
            callers: 4,
            returning_share: 0.0,
            return_habit: ReturnHabit::AsTold,
            crowding: None,
            least_service: LeastService::default(),
            changes: Vec::new(),
            seed,
        }
    }

    fn members(&self, serving: &[bool]) -> MemberView {
        let indices = 0..self.target_speeds.len();
        let indices = indices.filter(|index| serving[*index]);
        let member = |index| member(index, &service(), self.slots, TargetState::Serving);
        MemberView {
            members: indices.map(member).collect(),
        }
    }
}

impl LoadSimulation {
    pub fn new(setup: SimulationSetup) -> Self {
        let now = TimePoint::from_millis(10_000);
        let targets = setup.target_speeds.len();
        let ingresses = setup.ingresses;
        let serving = vec![true; targets];
        let view = setup.members(&serving);
        let caller = |_| {
            let mut table = PeerTable::new(peer_address(200), "d".into());
            table.update(now, &view);
            table
        };
        let slots = setup.slots;
        let mut simulation = Self {
            now,
            started_at: now,
            events: BinaryHeap::new(),
            sequence: 0,
            rng: SmallRng::seed_from_u64(setup.seed),
            demand_factor: 1.0,
            ingresses: vec![IngressAdmission::new(setup.least_service); ingresses],
            callers: (0..setup.callers).map(caller).collect(),
            schedulers: vec![SlotScheduler::new(slots, now); targets],
            serving,
            slowdowns: vec![1.0; targets],
            rate_limits: vec![None; targets],
            measured_from: now + WARM_UP,
            refusals: (0.0, now..now),
            retry_budgets: vec![TargetRetryBudget::new(RETRY_LIMITS, now); targets],
            queued: vec![HashMap::new(); targets],
            requests: Vec::new(),
            has_slots_since: now,
            result: SimulationResult {
                kinds: vec![KindResult::default(); setup.kinds.len()],
                intervals: vec![Vec::new(); setup.kinds.len()],
                ingresses: vec![(0, 0); ingresses],
                ..SimulationResult::default()
            },
            setup,
        };
        for kind in 0..simulation.setup.kinds.len() {
            simulation.schedule(Duration::ZERO, SimulationEvent::Arrive(kind));
        }
        for index in 0..simulation.setup.changes.len() {
            let at = simulation.setup.changes[index].0;
            simulation.schedule(at, SimulationEvent::Change(index));
        }
        simulation.schedule(TICK, SimulationEvent::Tick);
        simulation
    }

    fn schedule(&mut self, delay: Duration, event: SimulationEvent) {
        self.sequence += 1;
        self.events
            .push(Reverse((self.now + delay, self.sequence, event)));
    }

    fn random_duration(&mut self, mean_ms: f64) -> Duration {
        let factor: f64 = self.rng.random_range(0.4..1.6);
        Duration::from_secs_f64(mean_ms * factor / 1_000.0)
    }

    pub fn run(mut self, length: Duration) -> SimulationResult {
        let end = self.now + length;
        let measured = self.measured_from..end - COOL_DOWN;
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at >= end {
                break;
            }
            self.now = at;
            match event {
                SimulationEvent::Arrive(kind) => self.arrive(kind, measured.contains(&at)),
                SimulationEvent::Return(kind, ingress) => {
                    self.admit(kind, ingress, false, false);
                }
                SimulationEvent::Call(request) => self.call(request),
                SimulationEvent::Complete(request, target, started_at, caller) => {
                    self.complete(request, target, started_at, caller);
                }
                SimulationEvent::Refuse(request, target, started_at, caller) => {
                    self.refuse(request, target, started_at, caller);
                }
                SimulationEvent::Tick => self.tick(),
                SimulationEvent::Change(index) => self.change(self.setup.changes[index].1),
            }
        }
        self.result
    }

    fn tick(&mut self) {
        let limit = self.callers[0].total_concurrency_limit(&service());
        let ingresses = u32::try_from(self.ingresses.len()).expect("a small fleet");
        let fair_share = limit / f64::from(ingresses);
        for ingress in &mut self.ingresses {
            ingress.tick(self.now, |_| fair_share);
        }
        for target in 0..self.schedulers.len() {
            self.start_queued(target);
        }
        self.sample();
        self.schedule(TICK, SimulationEvent::Tick);
    }

    fn sample(&mut self) {
        let (mut calls, mut limit) = (0.0, 0.0);
        let schedulers = self.schedulers.iter().zip(&self.serving);
        for (scheduler, _) in schedulers.filter(|(_, is_serving)| **is_serving) {
            let load = scheduler.load(self.now);
            calls += f64::from(load.running + load.waiting);
            limit += load.capacity();
        }
        let pressure = calls / limit;
        if pressure >= IDLE_PRESSURE {
            self.has_slots_since = self.now;
        }
        self.result.available_slot_seconds += limit * TICK.as_secs_f64();
        self.result.samples.push(PressureSample {
            at: self.now,
            pressure,
        });
    }

    fn change(&mut self, change: SimulationChange) {
        match change {
            SimulationChange::Demand(factor) => self.demand_factor = factor,
            SimulationChange::Slowdown { target, factor } => self.slowdowns[target] = factor,
            SimulationChange::RateLimit { target, limit } => self.rate_limits[target] = limit,
            SimulationChange::Restart { ingress } => {
                self.ingresses[ingress] = IngressAdmission::new(self.setup.least_service);
            }
            SimulationChange::Serving { target, is_serving } => {
                self.serving[target] = is_serving;
                let view = self.setup.members(&self.serving);
                for table in &mut self.callers {
                    table.update(self.now, &view);
                }
                if is_serving {
                    return;
                }
                self.schedulers[target] = SlotScheduler::new(self.setup.slots, self.now);
                let mut refused: Vec<_> = self.queued[target].drain().collect();
                refused.sort_unstable();
                for (_, (request, _)) in refused {
                    self.retry(request, target, AttemptOutcome::NotSent);
                }
            }
        }
    }

    fn arrive(&mut self, index: usize, is_measured: bool) {
        let kind = self.setup.kinds[index];
        let uniform: f64 = self.rng.random_range(f64::MIN_POSITIVE..1.0);
        let rate = kind.per_second * self.demand_factor;
        let pause = Duration::from_secs_f64(-uniform.ln() / rate);
        self.schedule(pause, SimulationEvent::Arrive(index));
        self.interval(index, self.now).arrived += 1;
        let ingress = self.choose_ingress();
        if is_measured {
            self.result.kinds[index].arrived += 1;
            self.result.ingresses[ingress].1 += 1;
        }
        self.admit(index, ingress, is_measured, true);
    }

    /// Counts of a kind in the interval in which a request arrived.
    fn interval(&mut self, kind: usize, arrived_at: TimePoint) -> &mut KindInterval {
        let elapsed = arrived_at.since(self.started_at).as_millis();
        let index = usize::try_from(elapsed / REPORT_INTERVAL.as_millis());
        let index = index.expect("a short simulation");
        let intervals = &mut self.result.intervals[kind];
        intervals.resize(intervals.len().max(index + 1), KindInterval::default());
        &mut intervals[index]
    }

    fn choose_ingress(&mut self) -> usize {
        let weights = &self.setup.ingress_weights;
        if weights.is_empty() {
            return self.rng.random_range(0..self.setup.ingresses);
        }
        let mut point = self.rng.random::<f64>() * weights.iter().sum::<f64>();
        let index = weights.iter().position(|weight| {
            point -= weight;
            point < 0.0
        });
        index.unwrap_or(weights.len() - 1)
    }

    fn admit(&mut self, index: usize, ingress: usize, is_measured: bool, may_return: bool) {
        let kind = self.setup.kinds[index];
        let decision = self.ingresses[ingress].admit(self.now, kind.name, kind.rank);
        let admission = match decision {
            Ok(admission) => admission,
            Err(refusal) => {
                self.refuse_request(index, ingress, &refusal, may_return);
                return;
            }
        };
        if is_measured {
            self.result.kinds[index].admitted += 1;
        }
        self.requests.push(SimulatedRequest {
            kind: index,
            rank: admission.queue_rank,
            is_lifted: admission.is_lifted,
            ingress,
            start: self.now,
            remaining_calls: kind.calls,
            used_slot_seconds: 0.0,
            tree_cost: TreeCost::default(),
            is_unmeasured: !is_measured,
            history: AttemptHistory::default(),
            tried: TriedTargets::default(),
        });
        let gap = self.random_duration(kind.gap_ms);
        self.schedule(gap, SimulationEvent::Call(self.requests.len() - 1));
    }

    fn refuse_request(
        &mut self,
        index: usize,
        ingress: usize,
        refusal: &IngressRefusal,
        may_return: bool,
    ) {
        let idle_time = self.now.since(self.has_slots_since);
        self.result.needless_refusals += u32::from(idle_time > IDLE_TIME);
        let share = self.setup.returning_share;
        if may_return && share > 0.0 && self.rng.random_bool(share) {
            let event = SimulationEvent::Return(index, ingress);
            let pause = match self.setup.return_habit {
                ReturnHabit::AsTold => refusal.retry_after,
                ReturnHabit::AtOnce => IMPATIENT_PAUSE,
            };
            self.schedule(pause, event);
        }
    }

    fn current_attempts(&mut self) -> &mut (u32, u32) {
        let interval_index = self.now.since(TimePoint::ORIGIN).as_millis() / COUNT_INTERVAL_MS;
        let interval_index = usize::try_from(interval_index).expect("a short simulation");
        let attempts = &mut self.result.attempts;
        attempts.resize(attempts.len().max(interval_index + 1), (0, 0));
        &mut attempts[interval_index]
    }

    fn deadline(&self, request: usize) -> TimePoint {
        let request = &self.requests[request];
        request.start + Duration::from_millis(self.setup.kinds[request.kind].timeout_ms)
    }

    fn call(&mut self, request: usize) {
        let deadline = self.deadline(request);
        if self.now >= deadline {
            self.fail(request);
            return;
        }
        let caller = self.rng.random_range(0..self.callers.len());
        let (rank, start, earlier_attempts) = {
            let request = &self.requests[request];
            (request.rank, request.start, request.history.delivered())
        };
        let tried = &self.requests[request].tried;
        let table = &mut self.callers[caller];
        let chosen = table.choose(self.now, &service(), tried, MAX_TARGETS, &mut self.rng);
        let Some(chosen) = chosen else {
            if self.requests[request].tried.has_rate_limited() {
                self.requests[request].tried.clear_rate_limited();
                self.schedule(RATE_LIMIT_DELAY, SimulationEvent::Call(request));
            } else {
                self.fail(request);
            }
            return;
        };
        let targets = self.setup.target_speeds.len();
        let target = (0..targets).find(|&index| peer_address(index) == chosen);
        let target = target.expect("a known target");
        if earlier_attempts > 0 {
            let retry = RetryRequest {
                rank,
                is_inherited: false,
                failure_rate: self.schedulers[target].load(self.now).failure_rate,
            };
            if !self.retry_budgets[target].try_acquire(self.now, retry, targets) {
                self.callers[caller].record_outcome(
                    self.now,
                    &service(),
                    chosen,
                    PeerOutcome::Inconclusive,
                    None,
                );
                self.retry(request, target, AttemptOutcome::NoRetries);
                return;
            }
            self.current_attempts().1 += 1;
        }
        match self.schedulers[target].request(self.now, rank, start, deadline) {
            SlotDecision::Start => self.start(request, target, caller),
            SlotDecision::Queued(key) => {
                self.queued[target].insert(key, (request, caller));
                self.start_queued(target);
            }
            SlotDecision::QueueFull | SlotDecision::TargetStalled => {
                self.callers[caller].record_outcome(
                    self.now,
                    &service(),
                    chosen,
                    PeerOutcome::Refused,
                    None,
                );
                self.fail(request);
            }
        }
    }

    fn start(&mut self, request: usize, target: usize, caller: usize) {
        if self.requests[request].history.delivered() == 0 {
            let rank = self.requests[request].rank;
            self.retry_budgets[target].record_first_attempt(self.now, rank);
            self.current_attempts().0 += 1;
        }
        let (share, period) = &self.refusals;
        if period.contains(&self.now) && self.rng.random_bool(*share) {
            let event = SimulationEvent::Refuse(request, target, self.now, caller);
            self.schedule(REFUSAL_TIME, event);
            return;
        }
        let kind = self.setup.kinds[self.requests[request].kind];
        let work = kind.call_ms / self.setup.target_speeds[target]
            * self.slowdowns[target]
            * self.crowding_factor(target);
        let call_duration = self.random_duration(work);
        self.schedule(
            call_duration,
            SimulationEvent::Complete(request, target, self.now, caller),
        );
    }

    fn crowding_factor(&self, target: usize) -> f64 {
        let running = self.schedulers[target].load(self.now).running;
        let utilization = f64::from(running) / f64::from(self.setup.slots);
        let crowding = self.setup.crowding;
        let crowding = crowding.filter(|crowding| utilization >= crowding.utilization);
        crowding.map_or(1.0, |crowding| crowding.factor)
    }

    /// Ends a call that the target has refused and retries it.
    fn refuse(&mut self, request: usize, target: usize, started_at: TimePoint, caller: usize) {
        let now = self.now;
        self.schedulers[target].finish(now, started_at, SlotOutcome::Failed);
        let load = self.schedulers[target].load(now);
        self.callers[caller].record_outcome(
            now,
            &service(),
            peer_address(target),
            PeerOutcome::Failed,
            Some(load),
        );
        self.start_queued(target);
        self.retry(request, target, AttemptOutcome::Shed);
    }

    fn retry(&mut self, request: usize, target: usize, outcome: AttemptOutcome) {
        let time_left = self.now.until(self.deadline(request));
        let entry = &mut self.requests[request];
        entry.tried.record(peer_address(target), outcome);
        let next = entry
            .history
            .next_step(outcome, true, MAX_TARGETS, time_left);
        if next == NextStep::Retry {
            self.call(request);
        } else {
            self.fail(request);
        }
    }

    fn complete(&mut self, request: usize, target: usize, started_at: TimePoint, caller: usize) {
        let now = self.now;
        self.schedulers[target].finish(now, started_at, SlotOutcome::Responded);
        let limit = self.rate_limits[target];
        let statement = limit.map_or(RateStatement::Unlimited, RateStatement::Limit);
        self.schedulers[target].record_rate(now, statement);
        let load = self.schedulers[target].load(now);
        let outcome = PeerOutcome::Responded;
        self.callers[caller].record_outcome(
            now,
            &service(),
            peer_address(target),
            outcome,
            Some(load),
        );
        self.start_queued(target);
        self.continue_request(request, started_at, caller);
    }

    fn start_queued(&mut self, target: usize) {
        let now = self.now;
        while let Some(call) = self.schedulers[target].pop_ready(now) {
            let (QueuedCall::Ready(key)
            | QueuedCall::DeadlineTooNear(key)
            | QueuedCall::RateLimited(key)) = call;
            let Some((next, caller)) = self.queued[target].remove(&key) else {
                continue;
            };
            let (outcome, load) = match call {
                QueuedCall::Ready(_) => {
                    self.start(next, target, caller);
                    continue;
                }
                QueuedCall::DeadlineTooNear(_) => (PeerOutcome::Inconclusive, None),
                QueuedCall::RateLimited(_) => {
                    let load = self.schedulers[target].load(now);
                    (PeerOutcome::RateLimited, Some(load))
                }
            };
            let peer = peer_address(target);
            self.callers[caller].record_outcome(now, &service(), peer, outcome, load);
            if outcome == PeerOutcome::RateLimited {
                self.retry(next, target, AttemptOutcome::RateLimited);
            } else {
                self.fail(next);
            }
        }
    }

    /// Records what a request that will not complete has cost.
    fn fail(&mut self, request: usize) {
        let entry = &self.requests[request];
        let kind = self.setup.kinds[entry.kind];
        let ingress = &mut self.ingresses[entry.ingress];
        ingress.record_cost(kind.name, kind.rank, &entry.tree_cost, false);
        ingress.record_end(self.now, kind.name, entry.end(kind.rank, false));
    }

    /// Records the response to a call and makes the next one.
    fn continue_request(&mut self, request: usize, started_at: TimePoint, caller: usize) {
        let now = self.now;
        let seconds = now.since(started_at).as_secs_f64();
        let pressure = self.callers[caller].pressure(now, &service());
        self.result.used_slot_seconds += seconds;
        let other = self.rng.random_range(0..self.ingresses.len());
        let deadline = self.deadline(request);
        let entry = &mut self.requests[request];
        for ingress in [entry.ingress, other] {
            if let Some(pressure) = pressure {
                self.ingresses[ingress].record_pressure(now, &service(), pressure);
            }
        }
        entry.used_slot_seconds += seconds;
        entry.remaining_calls -= 1;
        entry.history = AttemptHistory::default();
        entry.tried = TriedTargets::default();
        entry.tree_cost.add(
            &service(),
            now.since(started_at),
            pressure.unwrap_or_default().total,
        );
        if now >= deadline {
            self.fail(request);
            return;
        }
        let kind = self.setup.kinds[entry.kind];
        if entry.remaining_calls > 0 {
            let gap = self.random_duration(kind.gap_ms);
            self.schedule(gap, SimulationEvent::Call(request));
            return;
        }
        self.result.useful_slot_seconds += entry.used_slot_seconds;
        if !entry.is_unmeasured {
            self.result.kinds[entry.kind].completed += 1;
            self.result.ingresses[entry.ingress].0 += 1;
        }
        let (kind_index, start) = (entry.kind, entry.start);
        let ended = entry.end(kind.rank, true);
        let ingress = &mut self.ingresses[entry.ingress];
        ingress.record_cost(kind.name, kind.rank, &entry.tree_cost, true);
        let limit = Duration::from_millis(kind.timeout_ms);
        ingress.record_latency(kind.name, now.since(entry.start), limit);
        ingress.record_end(now, kind.name, ended);
        self.interval(kind_index, start).completed += 1;
    }
}

pub fn kind(
    name: &'static str,
    rank: u8,
    per_second: f64,
    calls: u32,
    call_ms: f64,
    gap_ms: f64,
    timeout_ms: u64,
) -> RequestKind {
    RequestKind {
        name,
        rank,
        per_second,
        calls,
        call_ms,
        gap_ms,
        timeout_ms,
    }
}

pub fn share(count: u32, total: u32) -> f64 {
    f64::from(count) / f64::from(total.max(1))
}

/// Share of the requests of each kind that were served.
pub fn served(result: &SimulationResult) -> Vec<f64> {
    let kinds = result.kinds.iter();
    kinds
        .map(|kind| share(kind.completed, kind.arrived))
        .collect()
}
