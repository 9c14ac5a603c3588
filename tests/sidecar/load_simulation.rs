//! Heavy load on a graph of calls, in logical time: what callers get, and what the deepest service
//! does for them.
//!
//! Requests of three kinds come to eighteen fronts. Each makes calls one after another to one
//! service three levels down, on four targets of unlike speed, as in both deployments.

use {
    crate::members::{member, mesh},
    banyantrestle::{
        context::ServiceName,
        membership::{MemberView, TargetState},
        sidecar::{
            AttemptHistory, AttemptOutcome, IngressAdmission, NextStep, PeerOutcome, PeerTable,
            QueueKey, RetryBudget, RetryLimits, RetryRequest, SlotDecision, SlotOutcome,
            SlotScheduler, TreeCost, TriedTargets,
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

const FRONTS: u32 = 18;
const CALLERS: usize = 4;
const SPEEDS: [f64; 4] = [0.7, 0.7, 1.0, 1.6];
const TICK: Duration = Duration::from_millis(50);
/// Time after the start from which requests are judged.
const WARM_UP: Duration = Duration::from_secs(2);
/// Time in which a target refuses a call unrun.
const REFUSAL_TIME: Duration = Duration::from_millis(2);
/// Targets that one call may reach.
const MAX_TARGETS: u32 = 2;
/// Bounds of repeats in both deployments.
const REPEATS: RetryLimits = RetryLimits {
    ratio: 0.2,
    window: Duration::from_secs(10),
    slack: 50.0,
};
/// Time before the end of a play at which the last judged request comes, so that all may end.
const LAST_ENDS: Duration = Duration::from_secs(5);

/// One kind of request.
#[derive(Clone, Copy, Debug)]
struct RequestKind {
    name: &'static str,
    rank: u8,
    per_second: f64,
    /// Deep calls, one after another.
    calls: u32,
    call_ms: f64,
    /// Work of its own before each deep call.
    gap_ms: f64,
    timeout_ms: u64,
}

/// What became of the requests of one kind.
#[derive(Clone, Copy, Debug, Default)]
struct KindResult {
    asked: u32,
    admitted: u32,
    whole: u32,
}

#[derive(Debug, Default)]
struct PlayResult {
    kinds: Vec<KindResult>,
    /// Slot seconds of the deep service in all, and those for requests that ended whole.
    used: f64,
    useful: f64,
    /// Slot seconds that its targets had.
    room: f64,
    /// First arrivals at the targets and repeats, by tenths of a second.
    arrivals: Vec<(u32, u32)>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum PlayEvent {
    Arrive(usize),
    Call(usize),
    /// Request, target, start of the call, caller.
    End(usize, usize, TimePoint, usize),
    Refuse(usize, usize, TimePoint, usize),
    Tick,
}

#[derive(Debug)]
struct PlayRequest {
    kind: usize,
    front: usize,
    start: TimePoint,
    left: u32,
    used: f64,
    cost: TreeCost,
    is_over: bool,
    /// Offers of the call that is out.
    history: AttemptHistory,
    trail: TriedTargets,
}

struct LoadPlay {
    kinds: Vec<RequestKind>,
    now: TimePoint,
    events: BinaryHeap<Reverse<(TimePoint, u64, PlayEvent)>>,
    sequence: u64,
    rng: SmallRng,
    fronts: Vec<IngressAdmission>,
    callers: Vec<PeerTable>,
    guards: Vec<SlotScheduler>,
    slow: Vec<f64>,
    judged_from: TimePoint,
    /// Share of arrivals that every target refuses unrun, and when.
    refusing: (f64, Range<TimePoint>),
    repeats: Vec<RetryBudget>,
    waiting: Vec<HashMap<QueueKey, (usize, usize)>>,
    requests: Vec<PlayRequest>,
    result: PlayResult,
}

fn service() -> ServiceName {
    ServiceName::new("deep").expect("a valid name")
}

fn members(slots: u32) -> MemberView {
    let indices = 0..SPEEDS.len();
    let member = |index| member(index, &service(), slots, TargetState::Serving);
    MemberView {
        members: indices.map(member).collect(),
    }
}

impl LoadPlay {
    fn new(kinds: &[RequestKind], slots: u32, seed: u64) -> Self {
        let now = TimePoint::from_millis(10_000);
        let view = members(slots);
        let caller = || {
            let mut table = PeerTable::new(mesh(200), "d".into());
            table.update(now, &view);
            table
        };
        let mut play = Self {
            kinds: kinds.into(),
            now,
            events: BinaryHeap::new(),
            sequence: 0,
            rng: SmallRng::seed_from_u64(seed),
            fronts: vec![IngressAdmission::default(); FRONTS as usize],
            callers: (0..CALLERS).map(|_| caller()).collect(),
            guards: vec![SlotScheduler::new(slots, now); SPEEDS.len()],
            slow: vec![1.0; SPEEDS.len()],
            judged_from: now + WARM_UP,
            refusing: (0.0, now..now),
            repeats: vec![RetryBudget::new(REPEATS, now); SPEEDS.len()],
            waiting: vec![HashMap::new(); SPEEDS.len()],
            requests: Vec::new(),
            result: PlayResult {
                kinds: vec![KindResult::default(); kinds.len()],
                room: SPEEDS.iter().map(|_| f64::from(slots)).sum(),
                ..PlayResult::default()
            },
        };
        for kind in 0..kinds.len() {
            play.schedule(Duration::ZERO, PlayEvent::Arrive(kind));
        }
        play.schedule(TICK, PlayEvent::Tick);
        play
    }

    fn schedule(&mut self, delay: Duration, event: PlayEvent) {
        self.sequence += 1;
        self.events
            .push(Reverse((self.now + delay, self.sequence, event)));
    }

    fn span(&mut self, mean_ms: f64) -> Duration {
        let factor: f64 = self.rng.random_range(0.4..1.6);
        Duration::from_secs_f64(mean_ms * factor / 1_000.0)
    }

    fn run(mut self, length: Duration) -> PlayResult {
        let start = self.now;
        let end = start + length;
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at >= end {
                break;
            }
            self.now = at;
            match event {
                PlayEvent::Arrive(kind) => {
                    let judged = self.judged_from..end - LAST_ENDS;
                    self.arrive(kind, judged.contains(&self.now));
                }
                PlayEvent::Call(request) => self.call(request),
                PlayEvent::End(request, target, began, caller) => {
                    self.end(request, target, began, caller);
                }
                PlayEvent::Refuse(request, target, began, caller) => {
                    self.refuse(request, target, began, caller);
                }
                PlayEvent::Tick => self.tick(),
            }
        }
        self.result.room *= length.as_secs_f64();
        self.result
    }

    fn tick(&mut self) {
        let limit = self.callers[0].total_limit(&service());
        for front in &mut self.fronts {
            front.tick(self.now, |_| limit / f64::from(FRONTS));
        }
        self.schedule(TICK, PlayEvent::Tick);
    }

    fn arrive(&mut self, index: usize, is_judged: bool) {
        let kind = self.kinds[index];
        let uniform: f64 = self.rng.random_range(f64::MIN_POSITIVE..1.0);
        let pause = Duration::from_secs_f64(-uniform.ln() / kind.per_second);
        self.schedule(pause, PlayEvent::Arrive(index));
        let front = self.rng.random_range(0..self.fronts.len());
        let is_admitted = self.fronts[front]
            .admit(self.now, kind.name, kind.rank)
            .is_ok();
        if is_judged {
            self.result.kinds[index].asked += 1;
            self.result.kinds[index].admitted += u32::from(is_admitted);
        }
        if !is_admitted {
            return;
        }
        self.requests.push(PlayRequest {
            kind: index,
            front,
            start: self.now,
            left: kind.calls,
            used: 0.0,
            cost: TreeCost::default(),
            is_over: !is_judged,
            history: AttemptHistory::default(),
            trail: TriedTargets::default(),
        });
        let gap = self.span(kind.gap_ms);
        self.schedule(gap, PlayEvent::Call(self.requests.len() - 1));
    }

    fn arrivals_now(&mut self) -> &mut (u32, u32) {
        let tenth = self.now.since(TimePoint::ORIGIN).as_millis() / 100;
        let tenth = usize::try_from(tenth).expect("a short play");
        let arrivals = &mut self.result.arrivals;
        arrivals.resize(arrivals.len().max(tenth + 1), (0, 0));
        &mut arrivals[tenth]
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
        let caller = self.rng.random_range(0..CALLERS);
        let (rank, start, attempt) = {
            let request = &self.requests[request];
            let rank = self.kinds[request.kind].rank;
            (rank, request.start, request.history.arrivals())
        };
        let trail = &self.requests[request].trail;
        let table = &mut self.callers[caller];
        let chosen = table.choose(self.now, &service(), trail, MAX_TARGETS, &mut self.rng);
        let Some(chosen) = chosen else {
            return;
        };
        let target = (0..SPEEDS.len()).find(|&index| mesh(index) == chosen);
        let target = target.expect("a known target");
        if attempt > 0 {
            let ask = RetryRequest {
                rank,
                is_inherited: false,
            };
            if !self.repeats[target].take_repeat(self.now, ask, SPEEDS.len()) {
                self.callers[caller].finish(
                    self.now,
                    &service(),
                    chosen,
                    PeerOutcome::Abandoned,
                    None,
                );
                self.offer_again(request, target, AttemptOutcome::NoRepeats);
                return;
            }
            self.arrivals_now().1 += 1;
        }
        match self.guards[target].offer(self.now, rank, start, deadline) {
            SlotDecision::Start => self.begin(request, target, caller),
            SlotDecision::Wait(key) => {
                self.waiting[target].insert(key, (request, caller));
            }
            SlotDecision::Full | SlotDecision::Stalled => {
                self.callers[caller].finish(
                    self.now,
                    &service(),
                    chosen,
                    PeerOutcome::Refused,
                    None,
                );
            }
        }
    }

    fn begin(&mut self, request: usize, target: usize, caller: usize) {
        if self.requests[request].history.arrivals() == 0 {
            self.repeats[target].note_first(self.now);
            self.arrivals_now().0 += 1;
        }
        let (share, when) = &self.refusing;
        if when.contains(&self.now) && self.rng.random_bool(*share) {
            let event = PlayEvent::Refuse(request, target, self.now, caller);
            self.schedule(REFUSAL_TIME, event);
            return;
        }
        let kind = self.kinds[self.requests[request].kind];
        let work = kind.call_ms / SPEEDS[target] * self.slow[target];
        let span = self.span(work);
        self.schedule(span, PlayEvent::End(request, target, self.now, caller));
    }

    /// Ends a call that the target has refused and offers it again.
    fn refuse(&mut self, request: usize, target: usize, began: TimePoint, caller: usize) {
        let now = self.now;
        self.guards[target].finish(now, began, SlotOutcome::Failed);
        let load = self.guards[target].load(now);
        self.callers[caller].finish(
            now,
            &service(),
            mesh(target),
            PeerOutcome::Failed,
            Some(load),
        );
        self.start_waiting(target);
        self.offer_again(request, target, AttemptOutcome::Shed);
    }

    fn offer_again(&mut self, request: usize, target: usize, end: AttemptOutcome) {
        let left = self.now.until(self.deadline(request));
        let entry = &mut self.requests[request];
        entry.trail.note(mesh(target), end);
        let next = entry.history.next_step(end, true, MAX_TARGETS, left);
        if next == NextStep::Offer {
            self.call(request);
        }
    }

    fn end(&mut self, request: usize, target: usize, began: TimePoint, caller: usize) {
        let now = self.now;
        self.guards[target].finish(now, began, SlotOutcome::Answered);
        let load = self.guards[target].load(now);
        let answered = PeerOutcome::Answered;
        self.callers[caller].finish(now, &service(), mesh(target), answered, Some(load));
        self.start_waiting(target);
        self.continue_request(request, began, caller);
    }

    fn start_waiting(&mut self, target: usize) {
        let now = self.now;
        while let Some((key, is_hopeful)) = self.guards[target].next_ready(now) {
            let (next, caller) = self.waiting[target].remove(&key).expect("a waiting call");
            if is_hopeful {
                self.begin(next, target, caller);
            } else {
                let abandoned = PeerOutcome::Abandoned;
                self.callers[caller].finish(now, &service(), mesh(target), abandoned, None);
            }
        }
    }

    /// Takes the answer of a call and makes the next one.
    fn continue_request(&mut self, request: usize, began: TimePoint, caller: usize) {
        let now = self.now;
        let seconds = now.since(began).as_secs_f64();
        let pressure = self.callers[caller].pressure(now, &service());
        self.result.used += seconds;
        let other = self.rng.random_range(0..self.fronts.len());
        let deadline = self.deadline(request);
        let entry = &mut self.requests[request];
        for front in [entry.front, other] {
            if let Some(pressure) = pressure {
                self.fronts[front].note_pressure(now, &service(), pressure);
            }
        }
        entry.used += seconds;
        entry.left -= 1;
        entry.history = AttemptHistory::default();
        entry.trail = TriedTargets::default();
        entry
            .cost
            .add(&service(), now.since(began), pressure.unwrap_or_default());
        if now >= deadline {
            return;
        }
        let kind = self.kinds[entry.kind];
        if entry.left > 0 {
            let gap = self.span(kind.gap_ms);
            self.schedule(gap, PlayEvent::Call(request));
            return;
        }
        self.result.useful += entry.used;
        if !entry.is_over {
            self.result.kinds[entry.kind].whole += 1;
        }
        self.fronts[entry.front].note_cost(kind.name, kind.rank, &entry.cost, true);
    }
}

/// Kererū's evening at `times` the usual load: 100 slots at the deepest service.
fn kereru(times: f64) -> [RequestKind; 3] {
    [
        kind("browse", 1, 300.0 * times, 8, 22.0, 15.0, 5_000),
        kind("list", 2, 76.5 * times, 1, 36.0, 0.0, 600),
        kind("buy", 3, 159.0 * times, 8, 22.0, 19.0, 800),
    ]
}

/// Kita's last train at `times` the usual load: 104 slots at the deepest service.
fn kita(times: f64) -> [RequestKind; 3] {
    [
        kind("lookup", 1, 119.0 * times, 10, 55.0, 28.0, 1_800),
        kind("status", 2, 34.0 * times, 1, 88.0, 0.0, 1_200),
        kind("encode", 3, 36.1 * times, 5, 55.0, 60.0, 1_500),
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

fn share(part: u32, whole: u32) -> f64 {
    f64::from(part) / f64::from(whole.max(1))
}

/// What must hold of any overload: ranks in order, admitted requests whole, slots in use.
fn check(name: &str, result: &PlayResult) {
    let served: Vec<f64> = result
        .kinds
        .iter()
        .map(|kind| share(kind.whole, kind.asked))
        .collect();
    let carried: Vec<f64> = result
        .kinds
        .iter()
        .map(|kind| share(kind.whole, kind.admitted))
        .collect();
    let wasted = 1.0 - result.useful / result.used;
    let busy = result.useful / result.room;
    let told = format!(
        "{name}: served {served:.3?} carried {carried:.3?} wasted {wasted:.3} useful {busy:.3}"
    );
    assert!(served[2] >= 0.97, "the most urgent kind: {told}");
    assert!(served[1] >= 0.95, "the next kind: {told}");
    assert!(
        served[0] < served[1],
        "the least urgent kind gives way: {told}"
    );
    assert!(
        carried.iter().all(|&share| share >= 0.95),
        "what is admitted ends whole: {told}"
    );
    assert!(wasted < 0.03, "work for requests that failed: {told}");
    assert!(busy >= 0.80, "slots in use for whole requests: {told}");
}

#[test]
fn an_evening_at_twice_the_usual_load() {
    for seed in 1..=3 {
        let result = LoadPlay::new(&kereru(1.8), 25, seed).run(Duration::from_secs(20));
        check("kereru", &result);
    }
}

#[test]
fn a_last_train_at_twice_the_usual_load() {
    for seed in 1..=3 {
        let result = LoadPlay::new(&kita(2.0), 26, seed).run(Duration::from_secs(20));
        check("kita", &result);
    }
}

#[test]
fn a_calm_evening_refuses_next_to_nothing() {
    let result = LoadPlay::new(&kereru(0.7), 25, 1).run(Duration::from_secs(20));
    for kind in &result.kinds {
        assert!(share(kind.whole, kind.asked) >= 0.99, "{kind:?}");
    }
}

#[test]
fn one_slow_target_of_four_costs_no_more_than_its_part() {
    let mut play = LoadPlay::new(&kereru(1.5), 25, 4);
    play.slow[3] = 5.0;
    let result = play.run(Duration::from_secs(20));
    let buy = result.kinds[2];
    assert!(share(buy.whole, buy.asked) >= 0.9, "{result:?}");
    assert!(result.useful / result.used >= 0.9, "{result:?}");
}

/// Repeats of any window against the first arrivals of that window, the one half a window before,
/// or the one before.
fn check_repeats(result: &PlayResult) {
    const WINDOW: usize = 100;
    let sum = |range: Range<usize>, pick: fn(&(u32, u32)) -> u32| -> u32 {
        result.arrivals[range].iter().map(pick).sum()
    };
    for start in WINDOW..result.arrivals.len() - WINDOW {
        let repeats = sum(start..start + WINDOW, |(_, repeats)| *repeats);
        let starts = [start, start - WINDOW / 2, start - WINDOW];
        let firsts = starts.map(|start| sum(start..start + WINDOW, |(firsts, _)| *firsts));
        let most = firsts.into_iter().max().unwrap_or_default();
        let bound = REPEATS.ratio * f64::from(most) + REPEATS.slack;
        assert!(
            f64::from(repeats) <= bound,
            "{repeats} of {bound} at {start}"
        );
    }
}

fn served(result: &PlayResult) -> Vec<f64> {
    let kinds = result.kinds.iter();
    kinds.map(|kind| share(kind.whole, kind.asked)).collect()
}

/// A play in which every target refuses a share of what it gets, for as long as is judged.
fn refusing_play(kinds: &[RequestKind], slots: u32, refused: f64, seed: u64) -> PlayResult {
    let mut play = LoadPlay::new(kinds, slots, seed);
    let start = play.now + Duration::from_secs(12);
    play.refusing = (refused, start..start + Duration::from_secs(8));
    play.judged_from = start;
    let result = play.run(Duration::from_secs(25));
    check_repeats(&result);
    result
}

#[test]
fn a_service_that_refuses_a_third_still_serves_the_most_urgent_kind() {
    for seed in 1..=3 {
        let result = refusing_play(&kita(2.0), 26, 0.33, seed);
        let served = served(&result);
        assert!(served[2] >= 0.97, "{served:.3?}");
        // Two of three at the first try, and repeats that the most urgent kind leaves.
        assert!(served[1] >= 0.75, "{served:.3?}");
    }
}

#[test]
fn a_service_that_refuses_half_spends_its_repeats_on_the_urgent_kinds() {
    for seed in 1..=3 {
        let result = refusing_play(&kita(2.0), 26, 0.55, seed);
        let served = served(&result);
        assert!(served[2] >= 0.5, "{served:.3?}");
        assert!(
            served[0] < 0.05,
            "no repeats for what can't end: {served:.3?}"
        );
    }
}

#[test]
fn an_urgent_kind_that_alone_exceeds_the_service_is_carried_in_part() {
    for seed in 1..=3 {
        // A quarter of the usual slots: purchases alone ask for twice of what is there.
        let result = LoadPlay::new(&kereru(1.8), 6, seed).run(Duration::from_secs(20));
        let buy = result.kinds[2];
        assert!(share(buy.whole, buy.asked) >= 0.25, "{result:?}");
        assert!(result.useful / result.used >= 0.5, "{result:?}");
    }
}

#[test]
fn a_service_cut_to_a_quarter_still_serves_a_quarter_of_all_requests() {
    // Lists are a seventh of all and take a fifth of what is left; purchases fit in part.
    let result = LoadPlay::new(&kereru(1.8), 6, 1).run(Duration::from_secs(20));
    let whole: u32 = result.kinds.iter().map(|kind| kind.whole).sum();
    let asked: u32 = result.kinds.iter().map(|kind| kind.asked).sum();
    assert!(share(whole, asked) >= 0.25, "{whole} of {asked}");
}
