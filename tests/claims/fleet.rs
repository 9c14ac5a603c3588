//! Claim services of several daemons in one process, with a shared table and an unreliable
//! network.

use {
    super::process::{
        FleetNetwork, FleetProcess, FleetService, FleetTable, FleetTransport, LinkFaults,
        ProcessState,
    },
    banyantrestle::{
        claims::{
            BatcherMember, BatcherRanking, CallFingerprint, ClaimDecision, ClaimIdentity, ClaimKey,
            ClaimLimits, ClaimRequest, ClaimService, IdempotencyKey, JoinedOutcome,
            RecordedResponse,
        },
        context::{RequestId, ServiceName},
        membership::MemberId,
        time::{ProcessClock, TimerService},
    },
    rand::{SeedableRng, rngs::StdRng},
    standins::platform::MemoryTable,
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::time::sleep,
};

pub const WINDOW: Duration = Duration::from_secs(3_600);

/// Simulated daemon of the fleet.
#[derive(Clone)]
pub struct FleetGuard {
    pub service: FleetService,
    pub process: FleetProcess,
    pub member: BatcherMember,
}

/// Call that a caller sends to one guard.
#[derive(Clone, Debug)]
pub struct FleetCall {
    pub key: &'static str,
    pub body: &'static str,
    pub deadline: Duration,
    /// Time between the claim and the dispatch.
    pub dispatch_delay: Duration,
    pub run_time: Duration,
    pub ending: RunEnding,
}

/// End of the run of a call at the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnding {
    Response,
    TruncatedResponse,
    /// No byte reached the target.
    Unsent,
}

impl FleetCall {
    pub fn new(key: &'static str) -> Self {
        Self {
            key,
            body: "body",
            deadline: Duration::from_secs(5),
            dispatch_delay: Duration::ZERO,
            run_time: Duration::from_millis(20),
            ending: RunEnding::Response,
        }
    }

    pub fn fingerprint(&self) -> CallFingerprint {
        CallFingerprint::of("POST", "/purchases", self.body.as_bytes())
    }
}

/// Outcome that the caller gets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerOutcome {
    Completed(RecordedResponse),
    Unknown,
    NotRun,
    Mismatch,
}

/// Record of the runs at all targets.
#[derive(Clone, Debug, Default)]
pub struct RunLog(Arc<Mutex<HashMap<&'static str, Vec<RecordedResponse>>>>);

impl RunLog {
    /// Records a run of the call. Each run has a different response.
    pub fn run(&self, call: &FleetCall) -> RecordedResponse {
        let mut runs = self.0.lock().unwrap();
        let runs = runs.entry(call.key).or_default();
        let text = format!("run {} of {} with {}", runs.len(), call.key, call.body);
        let response = RecordedResponse {
            status: 200,
            headers: Arc::default(),
            body: text.into_bytes().into(),
        };
        runs.push(response.clone());
        response
    }

    pub fn of(&self, key: &str) -> Vec<RecordedResponse> {
        let runs = self.0.lock().unwrap();
        runs.get(key).cloned().unwrap_or_default()
    }
}

/// Guards of one service with their table and network.
pub struct ClaimFleet {
    pub table: MemoryTable,
    pub guards: Vec<FleetGuard>,
    pub runs: RunLog,
    pub clock: ProcessClock,
    limits: ClaimLimits,
    network: Arc<Mutex<FleetNetwork>>,
    started: u64,
}

impl ClaimFleet {
    pub fn new(count: u16) -> Self {
        Self::with_limits(count, ClaimLimits::default())
    }

    pub fn with_limits(count: u16, limits: ClaimLimits) -> Self {
        let mut fleet = Self {
            table: MemoryTable::new(),
            guards: Vec::new(),
            runs: RunLog::default(),
            clock: ProcessClock::start(),
            limits,
            network: Arc::new(Mutex::new(FleetNetwork::new())),
            started: 0,
        };
        for index in 0..count {
            let guard = fleet.start_guard(index);
            fleet.guards.push(guard);
        }
        fleet.set_members_everywhere();
        fleet
    }

    pub fn set_links(&self, faults: LinkFaults, seed: u64) {
        self.network.lock().unwrap().set_faults(faults, seed);
    }

    /// Kills a guard, so that its address refuses connections.
    pub fn kill(&self, index: usize) {
        let guard = &self.guards[index];
        guard.process.set(ProcessState::Killed);
        self.network.lock().unwrap().close(guard.member.mesh);
    }

    /// Kills a guard and starts another process on its addresses.
    pub fn restart(&mut self, index: usize) {
        self.kill(index);
        let guard = self.start_guard(u16::try_from(index).unwrap());
        self.guards[index] = guard;
        self.set_members_everywhere();
    }

    /// Index of the guard at `position` of the batcher ranking. Position 0 commits the claims
    /// of all guards.
    pub fn batcher(&self, position: usize) -> usize {
        let mut ranking = BatcherRanking::default();
        ranking.set_members(service(), self.members());
        let now = self.clock.now();
        let service = service();
        let member = ranking
            .candidates(&service, now, WINDOW)
            .nth(position)
            .unwrap();
        let index = self
            .guards
            .iter()
            .position(|guard| guard.member.id == member.id);
        index.unwrap()
    }

    pub fn request(&self, call: &FleetCall) -> ClaimRequest {
        ClaimRequest {
            key: key(call.key),
            fingerprint: call.fingerprint(),
            request: RequestId::from_u128(9),
            deadline: self.clock.now() + call.deadline,
            window: WINDOW,
        }
    }

    /// Sends a call to one guard. The future ends when the caller gets its outcome.
    pub fn call(
        &self,
        index: usize,
        call: FleetCall,
    ) -> impl Future<Output = CallerOutcome> + Send + 'static {
        let guard = self.guards[index].clone();
        let request = self.request(&call);
        let runs = self.runs.clone();
        let clock = self.clock;
        async move {
            let outcome = serve_call(&guard, request, &call, &runs, clock).await;
            guard.process.wait_until_running().await;
            outcome
        }
    }

    fn members(&self) -> Vec<BatcherMember> {
        self.guards.iter().map(|guard| guard.member).collect()
    }

    fn set_members_everywhere(&self) {
        for guard in &self.guards {
            guard.service.set_members(service(), self.members());
        }
    }

    fn start_guard(&mut self, index: u16) -> FleetGuard {
        self.started += 1;
        let mesh = SocketAddr::from(([127, 0, 0, 1], 7_000 + index));
        let member = MemberId {
            address: SocketAddr::from(([127, 0, 0, 1], 8_000 + index)),
            started_ms: self.started,
        };
        let process = FleetProcess::start();
        let table = FleetTable::new(self.table.clone(), process.clone());
        let transport = FleetTransport::new(self.network.clone(), process.clone());
        let identity = ClaimIdentity { member, mesh };
        // All guards have the same seed, so that write ids differ by the member alone.
        let rng = StdRng::seed_from_u64(5);
        let limits = self.limits;
        let clock = self.clock;
        let service = ClaimService::start(table.clone(), transport, identity, limits, clock, rng);
        service.start_sweep(table, &TimerService::new(clock));
        let mut network = self.network.lock().unwrap();
        network.listen(mesh, service.clone(), process.clone());
        drop(network);
        FleetGuard {
            service,
            process,
            member: BatcherMember { id: member, mesh },
        }
    }
}

async fn serve_call(
    guard: &FleetGuard,
    request: ClaimRequest,
    call: &FleetCall,
    runs: &RunLog,
    clock: ProcessClock,
) -> CallerOutcome {
    let deadline = clock.instant_of(request.deadline);
    match guard.service.begin(request).await {
        ClaimDecision::Won(token) => {
            sleep(call.dispatch_delay).await;
            guard.process.wait_until_running().await;
            match token.dispatch(clock.now()) {
                Ok(claim) if call.ending == RunEnding::Unsent => {
                    guard.service.release_unsent(claim);
                    CallerOutcome::NotRun
                }
                Ok(claim) => {
                    let response = runs.run(call);
                    sleep(call.run_time).await;
                    guard.process.wait_until_running().await;
                    if call.ending == RunEnding::TruncatedResponse {
                        guard.service.fail(claim);
                        return CallerOutcome::Unknown;
                    }
                    guard.service.complete(claim, response.clone());
                    CallerOutcome::Completed(response)
                }
                Err(token) => {
                    guard.service.release(token);
                    CallerOutcome::NotRun
                }
            }
        }
        ClaimDecision::Joined(joined) => {
            match tokio::time::timeout_at(deadline, joined.outcome()).await {
                Ok(JoinedOutcome::Completed(response)) => CallerOutcome::Completed(response),
                Ok(JoinedOutcome::NotRun { .. }) => CallerOutcome::NotRun,
                Ok(JoinedOutcome::Mismatch) => CallerOutcome::Mismatch,
                Ok(JoinedOutcome::Unknown(_)) | Err(_) => CallerOutcome::Unknown,
            }
        }
        ClaimDecision::Replay(response) => CallerOutcome::Completed(response),
        ClaimDecision::Unknown(_) => CallerOutcome::Unknown,
        ClaimDecision::Mismatch => CallerOutcome::Mismatch,
        ClaimDecision::Unavailable { .. } => CallerOutcome::NotRun,
    }
}

pub fn service() -> ServiceName {
    ServiceName::new("billing").unwrap()
}

pub fn key(text: &str) -> ClaimKey {
    ClaimKey {
        service: service(),
        key: IdempotencyKey::new(text).unwrap(),
    }
}

/// Outcome of all callers of a key whose call ran once.
pub fn response_of(fleet: &ClaimFleet, key: &str) -> CallerOutcome {
    let runs = fleet.runs.of(key);
    assert_eq!(runs.len(), 1, "runs of {key}");
    CallerOutcome::Completed(runs[0].clone())
}
