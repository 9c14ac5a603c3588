//! Model of one service in logical time: targets with the tables of the daemons beside them, fronts
//! that retry, callers that come again, and requests that crash each target that runs them.

use {
    banyantrestle::{
        crash::{
            AnsweredRequests, CrashReport, DigestKey, ProcessDigest, RecordScope, RequestDigest,
            RequestView, RunEnd, SuspectRecord, SuspectStanding, SuspectTable, TargetRun,
            TargetRuns, choose_isolation_target,
        },
        time::TimePoint,
    },
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::{
        cmp::Reverse,
        collections::{BinaryHeap, HashMap},
        net::SocketAddr,
        ops::Range,
        time::Duration,
    },
};

/// Time of a crashed target until it serves again, in ms.
const DOWN_MS: Range<u64> = 3_000..4_500;
/// Time from the start of a deadly request to the crash, in ms.
const CRASH_DELAY_MS: Range<u64> = 30..110;
const SERVICE_MS: Range<u64> = 10..80;
/// Delay of a message between daemons, in ms.
const MESSAGE_MS: Range<u64> = 1..8;
const MESSAGE_LOSS: f64 = 0.05;
/// Time until the caller of a failed request repeats it, in ms.
const CALLER_RETRY_MS: Range<u64> = 5..60;
/// Time until a front tries again to run a suspect that had to wait, in ms.
const SUSPECT_DELAY_MS: Range<u64> = 25..75;
const COMPARISON_MS: u64 = 1_000;
const MAX_UNDELIVERED: u32 = 4;
const MAX_CRASHES: u32 = 2;
/// `stable_window` of the platform, in ms.
const STABLE_WINDOW_MS: u64 = 3_000;
/// Share of the innocent requests that ask for one listing, and that ask for something unique.
const LISTING_SHARE: f64 = 0.3;
const UNIQUE_SHARE: f64 = 0.1;
/// Number of different requests that the others ask for.
const POOL_SIZE: u32 = 1_000;

/// What happens in one run of the model.
#[derive(Clone, Copy, Debug)]
pub struct FleetScenario {
    pub targets: usize,
    /// Innocent requests each second at each target.
    pub rate: u64,
    /// Deadly requests that come at the same time, each with its own digest.
    pub deadly: u32,
    /// Interval at which each of them comes, in ms.
    pub deadly_interval_ms: MillisRange,
    /// Time from which they come, in ms.
    pub deadly_start_ms: u64,
    /// Time between crashes of one target by itself, in ms; 0 for none.
    pub own_crash_ms: u64,
    /// Times at which a third of all targets crash by themselves, in ms.
    pub mass_crash_ms: &'static [u64],
    /// Mean time between restarts of single daemons, which lose their tables, in ms; 0 for none.
    pub daemon_restart_ms: u64,
    /// Interval at which targets leave and come back one after another, in ms; 0 for none.
    pub roll_ms: u64,
    pub length_ms: u64,
}

/// A range of times in ms.
#[derive(Clone, Copy, Debug)]
pub struct MillisRange {
    pub start: u64,
    pub end: u64,
}

/// Outcome of one run of the model.
#[derive(Clone, Debug, Default)]
pub struct FleetOutcome {
    /// Crashes under each deadly request.
    pub crashes: Vec<usize>,
    /// Arrivals of each deadly request later than the stable window after its third crash.
    pub late_arrivals: Vec<usize>,
    pub innocent_requests: u64,
    /// Innocent requests that were refused as deadly, and how many different ones.
    pub falsely_refused: u64,
    pub falsely_refused_requests: usize,
    /// Innocent requests that got no answer at the second try of their callers.
    pub innocent_failures: u64,
}

/// A request of a caller, with the attempts so far.
#[derive(Clone, Copy, Debug)]
struct ModelCall {
    digest: RequestDigest,
    is_deadly: bool,
    /// Whether the caller has repeated it already.
    is_repeated: bool,
    crashes: u32,
    undelivered: u32,
    last_target: Option<usize>,
    /// The only target that may run it.
    pinned: Option<usize>,
}

#[derive(Clone, Copy, Debug)]
enum ModelEvent {
    Innocent,
    Deadly(usize),
    Attempt(ModelCall),
    RunEnds {
        target: usize,
        process: u64,
        run: TargetRun,
        call: ModelCall,
    },
    Crash {
        target: usize,
        process: u64,
    },
    Back(usize),
    Leave(usize),
    News {
        target: usize,
        message: usize,
    },
    Compare(usize),
    OwnCrash,
    MassCrash,
    DaemonRestart,
}

struct ModelTarget {
    table: SuspectTable,
    answered: AnsweredRequests,
    runs: TargetRuns,
    /// Calls that run now, by an id of their own.
    running: Vec<(TargetRun, ModelCall)>,
    process: u64,
    is_up: bool,
}

pub struct FleetModel {
    scenario: FleetScenario,
    rng: SmallRng,
    now_ms: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, ModelEvent>,
    next_event: u64,
    targets: Vec<ModelTarget>,
    messages: Vec<Vec<SuspectRecord>>,
    key: DigestKey,
    deadly: Vec<RequestDigest>,
    /// The listing, then the requests of the pool.
    pool: Vec<RequestDigest>,
    crash_times: Vec<Vec<u64>>,
    arrivals: Vec<Vec<u64>>,
    outcome: FleetOutcome,
    refused: Vec<RequestDigest>,
}

fn address(target: usize) -> SocketAddr {
    let [.., high, low] = target.to_be_bytes();
    SocketAddr::from(([10, 0, high, low], 1))
}

fn request_digest(key: &DigestKey, kind: &str, number: u32) -> RequestDigest {
    key.request(&RequestView {
        method: "GET",
        host: "model",
        path: &format!("/{kind}/{number}"),
        caller: "front",
        body: &[],
    })
}

impl FleetModel {
    pub fn run(scenario: FleetScenario, seed: u64) -> FleetOutcome {
        let key = DigestKey::derive("model");
        let deadly = (0..scenario.deadly).map(|number| request_digest(&key, "deadly", number));
        let deadly: Vec<_> = deadly.collect();
        let pool = (0..=POOL_SIZE).map(|number| request_digest(&key, "pool", number));
        let pool = pool.collect();
        let targets = (0..scenario.targets).map(|_| ModelTarget {
            table: SuspectTable::default(),
            answered: AnsweredRequests::default(),
            runs: TargetRuns::default(),
            running: Vec::new(),
            process: 0,
            is_up: true,
        });
        let mut model = Self {
            scenario,
            rng: SmallRng::seed_from_u64(seed),
            now_ms: 0,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            next_event: 0,
            targets: targets.collect(),
            messages: Vec::new(),
            crash_times: vec![Vec::new(); deadly.len()],
            arrivals: vec![Vec::new(); deadly.len()],
            deadly,
            pool,
            key,
            outcome: FleetOutcome::default(),
            refused: Vec::new(),
        };
        model.start();
        while let Some(Reverse((at_ms, id))) = model.queue.pop() {
            if at_ms > scenario.length_ms {
                break;
            }
            model.now_ms = at_ms;
            if let Some(event) = model.events.remove(&id) {
                model.handle(event);
            }
        }
        model.finish()
    }

    fn start(&mut self) {
        let scenario = self.scenario;
        self.schedule(0, ModelEvent::Innocent);
        for index in 0..self.deadly.len() {
            let offset = self.rng.random_range(0..500);
            self.schedule(scenario.deadly_start_ms + offset, ModelEvent::Deadly(index));
        }
        for target in 0..self.targets.len() {
            let offset = self.rng.random_range(0..COMPARISON_MS);
            self.schedule(offset, ModelEvent::Compare(target));
        }
        for &at_ms in scenario.mass_crash_ms {
            self.schedule(at_ms, ModelEvent::MassCrash);
        }
        if scenario.own_crash_ms > 0 {
            self.schedule(self.own_crash_interval(), ModelEvent::OwnCrash);
        }
        if scenario.daemon_restart_ms > 0 {
            self.schedule(scenario.daemon_restart_ms, ModelEvent::DaemonRestart);
        }
        if scenario.roll_ms > 0 {
            for target in 0..self.targets.len() {
                let at_ms = scenario.roll_ms * (target as u64 + 1);
                self.schedule(at_ms, ModelEvent::Leave(target));
            }
        }
    }

    fn schedule(&mut self, delay_ms: u64, event: ModelEvent) {
        self.next_event += 1;
        self.events.insert(self.next_event, event);
        let at_ms = self.now_ms + delay_ms;
        self.queue.push(Reverse((at_ms, self.next_event)));
    }

    fn time(&self) -> TimePoint {
        TimePoint::from_millis(self.now_ms)
    }

    fn handle(&mut self, event: ModelEvent) {
        match event {
            ModelEvent::Innocent => {
                let per_second = self.scenario.rate * self.targets.len() as u64;
                self.schedule((1_000 / per_second).max(1), ModelEvent::Innocent);
                // Several requests a millisecond where the rate asks for it.
                for _ in 0..per_second.div_ceil(1_000) {
                    let digest = self.innocent_digest();
                    self.outcome.innocent_requests += 1;
                    self.attempt(ModelCall::new(digest, false));
                }
            }
            ModelEvent::Deadly(index) => {
                let interval = self.scenario.deadly_interval_ms;
                let delay = self.rng.random_range(interval.start..interval.end);
                self.schedule(delay, ModelEvent::Deadly(index));
                self.attempt(ModelCall::new(self.deadly[index], true));
            }
            ModelEvent::Attempt(call) => self.attempt(call),
            ModelEvent::RunEnds {
                target,
                process,
                run,
                call,
            } => {
                self.end_run(target, process, run, call);
            }
            ModelEvent::Crash { target, process } => {
                if self.targets[target].process == process {
                    self.crash(target);
                }
            }
            ModelEvent::Back(target) => {
                let target = &mut self.targets[target];
                target.process += 1;
                target.runs = TargetRuns::default();
                target.is_up = true;
            }
            ModelEvent::Leave(target) => self.leave(target),
            ModelEvent::News { target, message } => {
                let records = self.messages[message].clone();
                self.merge(target, &records);
            }
            ModelEvent::Compare(target) => self.compare(target),
            ModelEvent::OwnCrash => {
                self.schedule(self.own_crash_interval(), ModelEvent::OwnCrash);
                let target = self.rng.random_range(0..self.targets.len());
                self.crash(target);
            }
            ModelEvent::MassCrash => {
                for target in 0..self.targets.len() {
                    if self.rng.random_bool(1.0 / 3.0) {
                        self.crash(target);
                    }
                }
            }
            ModelEvent::DaemonRestart => {
                self.schedule(self.scenario.daemon_restart_ms, ModelEvent::DaemonRestart);
                let target = self.rng.random_range(0..self.targets.len());
                self.targets[target].table = SuspectTable::default();
                self.targets[target].answered = AnsweredRequests::default();
                self.compare(target);
            }
        }
    }

    fn own_crash_interval(&self) -> u64 {
        self.scenario.own_crash_ms / self.targets.len() as u64
    }

    fn innocent_digest(&mut self) -> RequestDigest {
        match self.rng.random::<f64>() {
            share if share < LISTING_SHARE => self.pool[0],
            share if share < LISTING_SHARE + UNIQUE_SHARE => {
                request_digest(&self.key, "unique", self.rng.random())
            }
            _ => self.pool[self.rng.random_range(1..self.pool.len())],
        }
    }

    /// Sends a call to a target, as a front does.
    fn attempt(&mut self, mut call: ModelCall) {
        let up: Vec<usize> = (0..self.targets.len())
            .filter(|&target| self.targets[target].is_up && Some(target) != call.last_target)
            .collect();
        let chosen = call
            .pinned
            .take()
            .or_else(|| (!up.is_empty()).then(|| up[self.rng.random_range(0..up.len())]));
        let Some(target) = chosen.filter(|&target| self.targets[target].is_up) else {
            self.fail(call);
            return;
        };
        call.last_target = Some(target);
        let (now_ms, now) = (self.now_ms, self.time());
        let entry = &mut self.targets[target];
        let is_familiar = entry.answered.contains(call.digest);
        let standing = entry.table.standing(now_ms, &call.digest, is_familiar);
        if standing == SuspectStanding::Refused {
            self.refuse(call);
            return;
        }
        if standing == SuspectStanding::Isolated {
            let daemons = (0..self.targets.len()).map(address);
            let only = choose_isolation_target(call.digest, daemons);
            let only = (0..self.targets.len()).find(|&target| Some(address(target)) == only);
            if only != Some(target) {
                call.pinned = only;
                self.retry_undelivered(call, 1..3);
                return;
            }
        }
        if !self.targets[target].runs.try_start(standing) {
            call.pinned = Some(target);
            self.retry_undelivered(call, SUSPECT_DELAY_MS);
            return;
        }
        let run = TargetRun {
            digest: call.digest,
            standing,
            started_at: now,
        };
        let process = self.targets[target].process;
        self.targets[target].running.push((run, call));
        if call.is_deadly {
            let index = self.deadly_index(call.digest);
            self.arrivals[index].push(now_ms);
            let delay = self.rng.random_range(CRASH_DELAY_MS);
            self.schedule(delay, ModelEvent::Crash { target, process });
        } else {
            let delay = self.rng.random_range(SERVICE_MS);
            self.schedule(
                delay,
                ModelEvent::RunEnds {
                    target,
                    process,
                    run,
                    call,
                },
            );
        }
    }

    fn retry_undelivered(&mut self, mut call: ModelCall, delay_ms: Range<u64>) {
        call.undelivered += 1;
        if call.undelivered >= MAX_UNDELIVERED {
            self.fail(call);
        } else {
            let delay = self.rng.random_range(delay_ms);
            self.schedule(delay, ModelEvent::Attempt(call));
        }
    }

    /// The caller gets a failure that it may repeat once.
    fn fail(&mut self, call: ModelCall) {
        if call.is_repeated {
            self.outcome.innocent_failures += u64::from(!call.is_deadly);
            return;
        }
        let repeated = ModelCall {
            is_repeated: true,
            ..ModelCall::new(call.digest, call.is_deadly)
        };
        let delay = self.rng.random_range(CALLER_RETRY_MS);
        self.schedule(delay, ModelEvent::Attempt(repeated));
    }

    fn refuse(&mut self, call: ModelCall) {
        if !call.is_deadly {
            self.outcome.falsely_refused += 1;
            if !self.refused.contains(&call.digest) {
                self.refused.push(call.digest);
            }
        }
    }

    fn end_run(&mut self, target: usize, process: u64, run: TargetRun, call: ModelCall) {
        if self.targets[target].process != process || !self.targets[target].is_up {
            return;
        }
        let now = self.time();
        let now_ms = self.now_ms;
        let entry = &mut self.targets[target];
        let position = entry
            .running
            .iter()
            .position(|(running, _)| *running == run);
        if let Some(position) = position {
            entry.running.swap_remove(position);
        }
        entry.runs.record_answer(now, run.started_at);
        entry.runs.finish(now, run, RunEnd::Answered);
        entry.answered.record(call.digest);
        if entry.table.record_answer(now_ms, call.digest) {
            self.announce(target);
        }
    }

    /// The target crashes: its daemon reports the suspects, then the fronts go on.
    fn crash(&mut self, target: usize) {
        if !self.targets[target].is_up {
            return;
        }
        let now = self.time();
        let now_ms = self.now_ms;
        let entry = &mut self.targets[target];
        entry.is_up = false;
        let running = std::mem::take(&mut entry.running);
        for (run, _) in &running {
            entry.runs.finish(now, *run, RunEnd::Broken);
        }
        let report = CrashReport {
            process: ProcessDigest(entry.process << 16 | target as u64),
            reporter: address(target),
            at_ms: now_ms,
            suspects: entry.runs.record_end(now),
        };
        let answered = &entry.answered;
        entry
            .table
            .record_crash(now_ms, &report, |digest| answered.contains(digest));
        self.announce(target);
        let down = self.rng.random_range(DOWN_MS);
        self.schedule(down, ModelEvent::Back(target));
        for (_, mut call) in running {
            if call.is_deadly {
                // Several copies of the request may have run on the target.
                let index = self.deadly_index(call.digest);
                let times = &mut self.crash_times[index];
                if times.last() != Some(&now_ms) {
                    times.push(now_ms);
                }
            }
            call.crashes += 1;
            let entry = &self.targets[target];
            let standing = entry.table.standing(now_ms, &call.digest, false);
            if standing == SuspectStanding::Refused {
                self.refuse(call);
            } else if call.crashes < MAX_CRASHES {
                let delay = self.rng.random_range(MESSAGE_MS) + MESSAGE_MS.end;
                self.schedule(delay, ModelEvent::Attempt(call));
            } else {
                self.fail(call);
            }
        }
    }

    fn leave(&mut self, target: usize) {
        let round = self.scenario.roll_ms * self.targets.len() as u64;
        self.schedule(round, ModelEvent::Leave(target));
        let entry = &mut self.targets[target];
        if !entry.is_up {
            return;
        }
        entry.runs.record_leaving();
        entry.is_up = false;
        let running = std::mem::take(&mut entry.running);
        for (_, call) in running {
            self.schedule(1, ModelEvent::Attempt(call));
        }
        self.schedule(DOWN_MS.start, ModelEvent::Back(target));
    }

    fn announce(&mut self, from: usize) {
        let records = self.targets[from].table.take_changes();
        self.targets[from].table.take_newly_refused();
        if records.is_empty() {
            return;
        }
        self.messages.push(records);
        let message = self.messages.len() - 1;
        for target in (0..self.targets.len()).filter(|&target| target != from) {
            if !self.rng.random_bool(MESSAGE_LOSS) {
                let delay = self.rng.random_range(MESSAGE_MS);
                self.schedule(delay, ModelEvent::News { target, message });
            }
        }
    }

    fn compare(&mut self, target: usize) {
        self.schedule(COMPARISON_MS, ModelEvent::Compare(target));
        let other = self.rng.random_range(0..self.targets.len());
        if other != target {
            let records = self.targets[other].table.records(RecordScope::Service);
            self.merge(target, &records);
            let records = self.targets[target].table.records(RecordScope::Service);
            self.merge(other, &records);
        }
        self.targets[target].table.expire(self.now_ms);
    }

    fn merge(&mut self, target: usize, records: &[SuspectRecord]) {
        for record in records {
            self.targets[target].table.merge(self.now_ms, record);
        }
    }

    fn deadly_index(&self, digest: RequestDigest) -> usize {
        let index = self.deadly.iter().position(|deadly| *deadly == digest);
        index.expect("a deadly request")
    }

    fn finish(mut self) -> FleetOutcome {
        let late = self
            .crash_times
            .iter()
            .zip(&self.arrivals)
            .map(|(crashes, arrivals)| {
                let third = crashes
                    .get(2)
                    .copied()
                    .unwrap_or(u64::MAX - STABLE_WINDOW_MS);
                let judged_from = third + STABLE_WINDOW_MS;
                arrivals
                    .iter()
                    .filter(|&&at_ms| at_ms > judged_from)
                    .count()
            });
        self.outcome.late_arrivals = late.collect();
        self.outcome.crashes = self.crash_times.iter().map(Vec::len).collect();
        self.outcome.falsely_refused_requests = self.refused.len();
        self.outcome
    }
}

impl ModelCall {
    fn new(digest: RequestDigest, is_deadly: bool) -> Self {
        Self {
            digest,
            is_deadly,
            is_repeated: false,
            crashes: 0,
            undelivered: 0,
            last_target: None,
            pinned: None,
        }
    }
}

/// Length of one run of the model.
pub fn length(seconds: u64) -> u64 {
    let length = Duration::from_secs(seconds).as_millis();
    u64::try_from(length).expect("a short run")
}
