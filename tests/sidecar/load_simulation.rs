//! Simulates overload of a call graph in logical time; checks what callers get and how much useful
//! work the deepest service does.
//!
//! Requests of three kinds arrive at 18 ingress sidecars. Each request makes calls, one after
//! another, to one service three levels down, which has four targets of different speeds, as in
//! the Kererū and Kita deployments.

use {
    crate::members::{member, peer_address},
    banyantrestle::{
        context::ServiceName,
        membership::{MemberView, TargetState},
        sidecar::{
            AttemptHistory, AttemptOutcome, IngressAdmission, NextStep, PeerOutcome, PeerTable,
            QueueKey, RetryLimits, RetryRequest, SlotDecision, SlotOutcome, SlotScheduler,
            TargetRetryBudget, TreeCost, TriedTargets,
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

const INGRESS_COUNT: u32 = 18;
const CALLER_COUNT: usize = 4;
const TARGET_SPEEDS: [f64; 4] = [0.7, 0.7, 1.0, 1.6];
const TICK: Duration = Duration::from_millis(50);
/// Time after the start during which requests are not counted.
const WARM_UP: Duration = Duration::from_secs(2);
/// Time that a target takes to refuse a call without running it.
const REFUSAL_TIME: Duration = Duration::from_millis(2);
/// Maximum number of targets that one call may reach.
const MAX_TARGETS: u32 = 2;
/// Retry limits of the Kererū and Kita deployments.
const RETRY_LIMITS: RetryLimits = RetryLimits {
    ratio: 0.2,
    window: Duration::from_secs(10),
    slack: 50.0,
};
/// Length of the intervals in which attempts are counted, in ms.
const COUNT_INTERVAL_MS: u128 = 100;
/// Number of these intervals in the window of [`RETRY_LIMITS`].
const WINDOW_INTERVALS: usize = 100;
/// Time before the end from which arriving requests are not counted, so that counted ones can end.
const COOL_DOWN: Duration = Duration::from_secs(5);

/// Parameters of one kind of request.
#[derive(Clone, Copy, Debug)]
struct RequestKind {
    name: &'static str,
    rank: u8,
    per_second: f64,
    /// Number of calls to the deepest service, one after another.
    calls: u32,
    call_ms: f64,
    /// Mean time in ms before each call to the deepest service.
    gap_ms: f64,
    timeout_ms: u64,
}

/// Counts of the requests of one kind.
#[derive(Clone, Copy, Debug, Default)]
struct KindResult {
    arrived: u32,
    admitted: u32,
    completed: u32,
}

#[derive(Debug, Default)]
struct SimulationResult {
    kinds: Vec<KindResult>,
    /// Slot seconds used at the deepest service, in total and for requests that completed.
    used_slot_seconds: f64,
    useful_slot_seconds: f64,
    /// Slot seconds that its targets offered.
    available_slot_seconds: f64,
    /// First attempts and retries that reached the targets, per 100 ms.
    attempts: Vec<(u32, u32)>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SimulationEvent {
    Arrive(usize),
    Call(usize),
    /// Index of the request, index of the target, start of the call, index of the caller.
    Complete(usize, usize, TimePoint, usize),
    /// Fields as in `Complete`.
    Refuse(usize, usize, TimePoint, usize),
    Tick,
}

#[derive(Debug)]
struct SimulatedRequest {
    kind: usize,
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

struct LoadSimulation {
    kinds: Vec<RequestKind>,
    now: TimePoint,
    events: BinaryHeap<Reverse<(TimePoint, u64, SimulationEvent)>>,
    sequence: u64,
    rng: SmallRng,
    ingresses: Vec<IngressAdmission>,
    callers: Vec<PeerTable>,
    schedulers: Vec<SlotScheduler>,
    slowdowns: Vec<f64>,
    measured_from: TimePoint,
    /// Share of calls that every target refuses without running them, and the period in which it
    /// does.
    refusals: (f64, Range<TimePoint>),
    retry_budgets: Vec<TargetRetryBudget>,
    queued: Vec<HashMap<QueueKey, (usize, usize)>>,
    requests: Vec<SimulatedRequest>,
    result: SimulationResult,
}

fn service() -> ServiceName {
    ServiceName::new("deep").expect("a valid name")
}

fn members(slots: u32) -> MemberView {
    let indices = 0..TARGET_SPEEDS.len();
    let member = |index| member(index, &service(), slots, TargetState::Serving);
    MemberView {
        members: indices.map(member).collect(),
    }
}

impl LoadSimulation {
    fn new(kinds: &[RequestKind], slots: u32, seed: u64) -> Self {
        let now = TimePoint::from_millis(10_000);
        let view = members(slots);
        let caller = || {
            let mut table = PeerTable::new(peer_address(200), "d".into());
            table.update(now, &view);
            table
        };
        let mut simulation = Self {
            kinds: kinds.into(),
            now,
            events: BinaryHeap::new(),
            sequence: 0,
            rng: SmallRng::seed_from_u64(seed),
            ingresses: vec![IngressAdmission::default(); INGRESS_COUNT as usize],
            callers: (0..CALLER_COUNT).map(|_| caller()).collect(),
            schedulers: vec![SlotScheduler::new(slots, now); TARGET_SPEEDS.len()],
            slowdowns: vec![1.0; TARGET_SPEEDS.len()],
            measured_from: now + WARM_UP,
            refusals: (0.0, now..now),
            retry_budgets: vec![TargetRetryBudget::new(RETRY_LIMITS, now); TARGET_SPEEDS.len()],
            queued: vec![HashMap::new(); TARGET_SPEEDS.len()],
            requests: Vec::new(),
            result: SimulationResult {
                kinds: vec![KindResult::default(); kinds.len()],
                available_slot_seconds: TARGET_SPEEDS.iter().map(|_| f64::from(slots)).sum(),
                ..SimulationResult::default()
            },
        };
        for kind in 0..kinds.len() {
            simulation.schedule(Duration::ZERO, SimulationEvent::Arrive(kind));
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

    fn run(mut self, length: Duration) -> SimulationResult {
        let start = self.now;
        let end = start + length;
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at >= end {
                break;
            }
            self.now = at;
            match event {
                SimulationEvent::Arrive(kind) => {
                    let measured = self.measured_from..end - COOL_DOWN;
                    self.arrive(kind, measured.contains(&self.now));
                }
                SimulationEvent::Call(request) => self.call(request),
                SimulationEvent::Complete(request, target, started_at, caller) => {
                    self.complete(request, target, started_at, caller);
                }
                SimulationEvent::Refuse(request, target, started_at, caller) => {
                    self.refuse(request, target, started_at, caller);
                }
                SimulationEvent::Tick => self.tick(),
            }
        }
        self.result.available_slot_seconds *= length.as_secs_f64();
        self.result
    }

    fn tick(&mut self) {
        let limit = self.callers[0].total_concurrency_limit(&service());
        for ingress in &mut self.ingresses {
            ingress.tick(self.now, |_| limit / f64::from(INGRESS_COUNT));
        }
        self.schedule(TICK, SimulationEvent::Tick);
    }

    fn arrive(&mut self, index: usize, is_measured: bool) {
        let kind = self.kinds[index];
        let uniform: f64 = self.rng.random_range(f64::MIN_POSITIVE..1.0);
        let pause = Duration::from_secs_f64(-uniform.ln() / kind.per_second);
        self.schedule(pause, SimulationEvent::Arrive(index));
        let ingress = self.rng.random_range(0..self.ingresses.len());
        let is_admitted = self.ingresses[ingress]
            .admit(self.now, kind.name, kind.rank)
            .is_ok();
        if is_measured {
            self.result.kinds[index].arrived += 1;
            self.result.kinds[index].admitted += u32::from(is_admitted);
        }
        if !is_admitted {
            return;
        }
        self.requests.push(SimulatedRequest {
            kind: index,
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

    fn current_attempts(&mut self) -> &mut (u32, u32) {
        let interval_index = self.now.since(TimePoint::ORIGIN).as_millis() / COUNT_INTERVAL_MS;
        let interval_index = usize::try_from(interval_index).expect("a short simulation");
        let attempts = &mut self.result.attempts;
        attempts.resize(attempts.len().max(interval_index + 1), (0, 0));
        &mut attempts[interval_index]
    }

    fn deadline(&self, request: usize) -> TimePoint {
        let request = &self.requests[request];
        request.start + Duration::from_millis(self.kinds[request.kind].timeout_ms)
    }

    fn call(&mut self, request: usize) {
        let deadline = self.deadline(request);
        if self.now >= deadline {
            return;
        }
        let caller = self.rng.random_range(0..CALLER_COUNT);
        let (rank, start, earlier_attempts) = {
            let request = &self.requests[request];
            let rank = self.kinds[request.kind].rank;
            (rank, request.start, request.history.delivered())
        };
        let tried = &self.requests[request].tried;
        let table = &mut self.callers[caller];
        let chosen = table.choose(self.now, &service(), tried, MAX_TARGETS, &mut self.rng);
        let Some(chosen) = chosen else {
            return;
        };
        let target = (0..TARGET_SPEEDS.len()).find(|&index| peer_address(index) == chosen);
        let target = target.expect("a known target");
        if earlier_attempts > 0 {
            let retry = RetryRequest {
                rank,
                is_inherited: false,
            };
            if !self.retry_budgets[target].try_acquire(self.now, retry, TARGET_SPEEDS.len()) {
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
            }
            SlotDecision::QueueFull | SlotDecision::TargetStalled => {
                self.callers[caller].record_outcome(
                    self.now,
                    &service(),
                    chosen,
                    PeerOutcome::Refused,
                    None,
                );
            }
        }
    }

    fn start(&mut self, request: usize, target: usize, caller: usize) {
        if self.requests[request].history.delivered() == 0 {
            self.retry_budgets[target].record_first_attempt(self.now);
            self.current_attempts().0 += 1;
        }
        let (share, period) = &self.refusals;
        if period.contains(&self.now) && self.rng.random_bool(*share) {
            let event = SimulationEvent::Refuse(request, target, self.now, caller);
            self.schedule(REFUSAL_TIME, event);
            return;
        }
        let kind = self.kinds[self.requests[request].kind];
        let work = kind.call_ms / TARGET_SPEEDS[target] * self.slowdowns[target];
        let call_duration = self.random_duration(work);
        self.schedule(
            call_duration,
            SimulationEvent::Complete(request, target, self.now, caller),
        );
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
        }
    }

    fn complete(&mut self, request: usize, target: usize, started_at: TimePoint, caller: usize) {
        let now = self.now;
        self.schedulers[target].finish(now, started_at, SlotOutcome::Responded);
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
        while let Some((key, can_meet_deadline)) = self.schedulers[target].pop_ready(now) {
            let (next, caller) = self.queued[target].remove(&key).expect("a waiting call");
            if can_meet_deadline {
                self.start(next, target, caller);
            } else {
                let outcome = PeerOutcome::Inconclusive;
                self.callers[caller].record_outcome(
                    now,
                    &service(),
                    peer_address(target),
                    outcome,
                    None,
                );
            }
        }
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
            pressure.unwrap_or_default(),
        );
        if now >= deadline {
            return;
        }
        let kind = self.kinds[entry.kind];
        if entry.remaining_calls > 0 {
            let gap = self.random_duration(kind.gap_ms);
            self.schedule(gap, SimulationEvent::Call(request));
            return;
        }
        self.result.useful_slot_seconds += entry.used_slot_seconds;
        if !entry.is_unmeasured {
            self.result.kinds[entry.kind].completed += 1;
        }
        self.ingresses[entry.ingress].record_cost(kind.name, kind.rank, &entry.tree_cost, true);
    }
}

/// Workload of the Kererū deployment at `load_factor` times the usual load, with 100 slots at the
/// deepest service.
fn kereru(load_factor: f64) -> [RequestKind; 3] {
    [
        kind("browse", 1, 300.0 * load_factor, 8, 22.0, 15.0, 5_000),
        kind("list", 2, 76.5 * load_factor, 1, 36.0, 0.0, 600),
        kind("buy", 3, 159.0 * load_factor, 8, 22.0, 19.0, 800),
    ]
}

/// Workload of the Kita deployment at `load_factor` times the usual load, with 104 slots at the
/// deepest service.
fn kita(load_factor: f64) -> [RequestKind; 3] {
    [
        kind("lookup", 1, 119.0 * load_factor, 10, 55.0, 28.0, 1_800),
        kind("status", 2, 34.0 * load_factor, 1, 88.0, 0.0, 1_200),
        kind("encode", 3, 36.1 * load_factor, 5, 55.0, 60.0, 1_500),
    ]
}

fn kind(
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

fn share(count: u32, total: u32) -> f64 {
    f64::from(count) / f64::from(total.max(1))
}

/// Checks what holds under any overload: ranks are served in order, admitted requests complete, and
/// the slots do useful work.
fn check_overload(name: &str, result: &SimulationResult) {
    let served: Vec<f64> = result
        .kinds
        .iter()
        .map(|kind| share(kind.completed, kind.arrived))
        .collect();
    let completed_of_admitted: Vec<f64> = result
        .kinds
        .iter()
        .map(|kind| share(kind.completed, kind.admitted))
        .collect();
    let wasted = 1.0 - result.useful_slot_seconds / result.used_slot_seconds;
    let useful = result.useful_slot_seconds / result.available_slot_seconds;
    let summary = format!(
        "{name}: served {served:.3?} completed_of_admitted {completed_of_admitted:.3?} wasted {wasted:.3} useful {useful:.3}"
    );
    assert!(served[2] >= 0.97, "highest rank served: {summary}");
    assert!(served[1] >= 0.95, "second rank served: {summary}");
    assert!(served[0] < served[1], "lowest rank served last: {summary}");
    assert!(
        completed_of_admitted.iter().all(|&share| share >= 0.95),
        "admitted requests complete: {summary}"
    );
    assert!(wasted < 0.03, "work wasted on failed requests: {summary}");
    assert!(
        useful >= 0.80,
        "slots used for completed requests: {summary}"
    );
}

#[test]
fn kereru_overload_keeps_ranks_in_order() {
    for seed in 1..=3 {
        let result = LoadSimulation::new(&kereru(1.8), 25, seed).run(Duration::from_secs(20));
        check_overload("kereru", &result);
    }
}

#[test]
fn kita_overload_keeps_ranks_in_order() {
    for seed in 1..=3 {
        let result = LoadSimulation::new(&kita(2.0), 26, seed).run(Duration::from_secs(20));
        check_overload("kita", &result);
    }
}

#[test]
fn usual_load_refuses_almost_nothing() {
    let result = LoadSimulation::new(&kereru(0.7), 25, 1).run(Duration::from_secs(20));
    for kind in &result.kinds {
        assert!(share(kind.completed, kind.arrived) >= 0.99, "{kind:?}");
    }
}

#[test]
fn one_slow_target_of_four_keeps_most_throughput() {
    let mut simulation = LoadSimulation::new(&kereru(1.5), 25, 4);
    simulation.slowdowns[3] = 5.0;
    let result = simulation.run(Duration::from_secs(20));
    let buy = result.kinds[2];
    assert!(share(buy.completed, buy.arrived) >= 0.9, "{result:?}");
    assert!(
        result.useful_slot_seconds / result.used_slot_seconds >= 0.9,
        "{result:?}"
    );
}

/// Checks that the retries of every window stay within the limits for the first attempts of that
/// window, the window half a length earlier, or the one before.
fn check_retry_limits(result: &SimulationResult) {
    let sum = |range: Range<usize>, select: fn(&(u32, u32)) -> u32| -> u32 {
        result.attempts[range].iter().map(select).sum()
    };
    for start in WINDOW_INTERVALS..result.attempts.len() - WINDOW_INTERVALS {
        let retries = sum(start..start + WINDOW_INTERVALS, |(_, retries)| *retries);
        let starts = [
            start,
            start - WINDOW_INTERVALS / 2,
            start - WINDOW_INTERVALS,
        ];
        let first_attempts = starts.map(|start| {
            sum(start..start + WINDOW_INTERVALS, |(first_attempts, _)| {
                *first_attempts
            })
        });
        let max_first_attempts = first_attempts.into_iter().max().unwrap_or_default();
        let max_retries = RETRY_LIMITS.ratio * f64::from(max_first_attempts) + RETRY_LIMITS.slack;
        assert!(
            f64::from(retries) <= max_retries,
            "{retries} of {max_retries} at {start}"
        );
    }
}

fn served(result: &SimulationResult) -> Vec<f64> {
    let kinds = result.kinds.iter();
    kinds
        .map(|kind| share(kind.completed, kind.arrived))
        .collect()
}

/// Simulates a workload in which every target refuses a share of its calls while requests are
/// counted.
fn simulate_refusals(
    kinds: &[RequestKind],
    slots: u32,
    refused: f64,
    seed: u64,
) -> SimulationResult {
    let mut simulation = LoadSimulation::new(kinds, slots, seed);
    let start = simulation.now + Duration::from_secs(12);
    simulation.refusals = (refused, start..start + Duration::from_secs(8));
    simulation.measured_from = start;
    let result = simulation.run(Duration::from_secs(25));
    check_retry_limits(&result);
    result
}

#[test]
fn refusing_a_third_still_serves_the_highest_rank() {
    for seed in 1..=3 {
        let result = simulate_refusals(&kita(2.0), 26, 0.33, seed);
        let served = served(&result);
        assert!(served[2] >= 0.97, "{served:.3?}");
        // Two of three succeed at the first attempt; the rest depends on retries that the highest
        // rank leaves.
        assert!(served[1] >= 0.75, "{served:.3?}");
    }
}

#[test]
fn refusing_half_spends_retries_on_the_higher_ranks() {
    for seed in 1..=3 {
        let result = simulate_refusals(&kita(2.0), 26, 0.55, seed);
        let served = served(&result);
        assert!(served[2] >= 0.5, "{served:.3?}");
        assert!(
            served[0] < 0.05,
            "no retries for the lowest rank: {served:.3?}"
        );
    }
}

#[test]
fn highest_rank_above_capacity_is_served_in_part() {
    for seed in 1..=3 {
        // With a quarter of the usual slots, purchases alone need twice the capacity.
        let result = LoadSimulation::new(&kereru(1.8), 6, seed).run(Duration::from_secs(20));
        let buy = result.kinds[2];
        assert!(share(buy.completed, buy.arrived) >= 0.25, "{result:?}");
        assert!(
            result.useful_slot_seconds / result.used_slot_seconds >= 0.5,
            "{result:?}"
        );
    }
}

#[test]
fn a_service_cut_to_a_quarter_still_serves_a_quarter_of_all_requests() {
    // Lists are a seventh of all requests and take a fifth of the remaining capacity; purchases fit
    // in part.
    let result = LoadSimulation::new(&kereru(1.8), 6, 1).run(Duration::from_secs(20));
    let completed: u32 = result.kinds.iter().map(|kind| kind.completed).sum();
    let arrived: u32 = result.kinds.iter().map(|kind| kind.arrived).sum();
    assert!(
        share(completed, arrived) >= 0.25,
        "{completed} of {arrived}"
    );
}
