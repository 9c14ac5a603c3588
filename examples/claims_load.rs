//! Measures the claims of many guards under the rate cap of the table service.
//!
//! Each load runs twice: every guard commits its claims itself, or the guards of a service commit
//! them through one batcher. A stand-in for the table service runs over loopback HTTP with the rate
//! caps of its default mode and a delay of 2 ms per request. All guards run in this process and
//! reach each other through function calls.

use {
    anyhow::{Context, bail},
    banyantrestle::{
        claims::{
            BatcherMember, CallFingerprint, ClaimDecision, ClaimIdentity, ClaimKey, ClaimLedger,
            ClaimLimits, ClaimRequest, ClaimService, ClaimTransport, CommitReply, CommitRequest,
            HolderQuery, HolderReply, IdempotencyKey, LedgerDecision, NewEntry, RecordedResponse,
            TransportError, WriteId,
        },
        context::{RequestId, ServiceName},
        membership::MemberId,
        table::HttpTable,
        time::{ProcessClock, TimePoint},
    },
    hdrhistogram::Histogram,
    rand::{RngExt, SeedableRng, rngs::StdRng},
    standins::platform::{PlatformMode, PlatformStandin},
    std::{
        collections::HashMap,
        fs,
        net::SocketAddr,
        sync::{Arc, Mutex, OnceLock, PoisonError},
        time::Duration,
    },
    tokio::{
        task::JoinSet,
        time::{Instant, sleep, sleep_until},
    },
};

const TABLE_DELAY_MS: u64 = 2;
const TABLE_TIMEOUT: Duration = Duration::from_millis(500);
const CALL_DEADLINE: Duration = Duration::from_secs(2);
const KEY_WINDOW: Duration = Duration::from_secs(60);
/// Recorded calls in the measurement of the ledger's memory.
const LEDGER_ENTRIES: usize = 100_000;
const RESPONSE_BODY_BYTES: usize = 200;
/// Upper limit of the latency histogram.
const MAX_LATENCY_US: u64 = 10_000_000;

xflags::xflags! {
    /// Measures claims under the rate cap of the table service.
    cmd claims-load {
        /// Length of each run, in s; 10 if absent.
        optional --seconds seconds: u64
        /// Seed of the arrival times; 1 if absent.
        optional --seed seed: u64
    }
}

type LocalClaimService = ClaimService<HttpTable, LocalTransport>;

/// Transport that calls the other guards of this process directly.
#[derive(Clone, Default)]
struct LocalTransport {
    services: Arc<OnceLock<HashMap<SocketAddr, LocalClaimService>>>,
}

impl LocalTransport {
    fn peer(&self, mesh: SocketAddr) -> Result<&LocalClaimService, TransportError> {
        let services = self.services.get();
        let service = services.and_then(|services| services.get(&mesh));
        service.ok_or_else(|| TransportError::Unreachable("no guard has this mesh address".into()))
    }
}

impl ClaimTransport for LocalTransport {
    async fn send_commit(
        &self,
        peer_mesh: SocketAddr,
        request: CommitRequest,
    ) -> Result<CommitReply, TransportError> {
        Ok(self.peer(peer_mesh)?.serve_commit(request).await)
    }

    async fn query_holder(
        &self,
        peer_mesh: SocketAddr,
        request: HolderQuery,
    ) -> Result<HolderReply, TransportError> {
        Ok(self.peer(peer_mesh)?.serve_query(request).await)
    }
}

/// Parameters of one run.
#[derive(Clone, Copy, Debug)]
struct LoadPlan {
    services: u16,
    guards_per_service: u16,
    /// Rate of calls per guard.
    calls_per_s: f64,
    /// Whether claims are committed through batchers.
    is_batched: bool,
}

/// Results of the calls of one run.
#[derive(Debug)]
struct LoadOutcome {
    won: u64,
    refused: u64,
    /// Latencies of won claims.
    latency_us: Histogram<u64>,
}

impl LoadOutcome {
    fn new() -> anyhow::Result<Self> {
        Ok(Self {
            won: 0,
            refused: 0,
            latency_us: Histogram::new_with_bounds(1, MAX_LATENCY_US, 3)?,
        })
    }

    fn record(&mut self, is_won: bool, latency: Duration) {
        self.won += u64::from(is_won);
        self.refused += u64::from(!is_won);
        let micros = u64::try_from(latency.as_micros()).unwrap_or(MAX_LATENCY_US);
        if is_won {
            self.latency_us.saturating_record(micros);
        }
    }
}

/// Guard that claims the keys of its calls.
struct LoadGuard {
    claims: LocalClaimService,
    service_name: ServiceName,
    clock: ProcessClock,
    outcome: Arc<Mutex<LoadOutcome>>,
}

impl LoadGuard {
    /// Starts calls at random times until `stop_at`, then waits until all have ended.
    async fn send_calls(self: Arc<Self>, calls_per_s: f64, stop_at: Instant, mut rng: StdRng) {
        let mut next_call = Instant::now();
        let mut calls = JoinSet::new();
        loop {
            // Exponentially distributed gaps give a Poisson process.
            let gap = -(1.0 - rng.random::<f64>()).ln() / calls_per_s;
            next_call += Duration::from_secs_f64(gap);
            if next_call >= stop_at {
                break;
            }
            sleep_until(next_call).await;
            calls.spawn(self.clone().call(rng.random()));
        }
        calls.join_all().await;
    }

    async fn call(self: Arc<Self>, number: u128) {
        let Ok(key) = IdempotencyKey::new(&format!("{number:032x}")) else {
            return;
        };
        let request = ClaimRequest {
            key: ClaimKey {
                service: self.service_name.clone(),
                key,
            },
            fingerprint: CallFingerprint::of("POST", "/purchases", b"body"),
            request: RequestId::from_u128(number),
            deadline: self.clock.now() + CALL_DEADLINE,
            window: KEY_WINDOW,
        };
        let start = Instant::now();
        let decision = self.claims.begin(request).await;
        let latency = start.elapsed();
        let is_won = match decision {
            ClaimDecision::Won(token) => match token.dispatch(self.clock.now()) {
                Ok(claim) => {
                    self.claims
                        .complete(claim, recorded_response(RESPONSE_BODY_BYTES));
                    true
                }
                Err(_) => false,
            },
            _ => false,
        };
        let mut outcome = self.outcome.lock().unwrap_or_else(PoisonError::into_inner);
        outcome.record(is_won, latency);
    }
}

fn recorded_response(body_bytes: usize) -> RecordedResponse {
    RecordedResponse {
        status: 200,
        headers: Arc::default(),
        body: vec![0; body_bytes].into(),
    }
}

async fn measure_load(plan: LoadPlan, seconds: u64, seed: u64) -> anyhow::Result<()> {
    let mode = PlatformMode {
        delay_ms: TABLE_DELAY_MS,
        ..PlatformMode::default()
    };
    let standin = PlatformStandin::start(([127, 0, 0, 1], 0).into(), mode).await?;
    let outcome = Arc::new(Mutex::new(LoadOutcome::new()?));
    let guards = start_guards(plan, standin.address(), seed, &outcome).await?;
    let stop_at = Instant::now() + Duration::from_secs(seconds);
    let mut senders = JoinSet::new();
    for (index, guard) in guards.into_iter().enumerate() {
        let rng = StdRng::seed_from_u64(seed ^ index as u64);
        senders.spawn(guard.send_calls(plan.calls_per_s, stop_at, rng));
    }
    senders.join_all().await;
    sleep(Duration::from_millis(100)).await;
    let outcome = outcome.lock().unwrap_or_else(PoisonError::into_inner);
    print_row(plan, seconds, &outcome, &standin);
    Ok(())
}

async fn start_guards(
    plan: LoadPlan,
    table: SocketAddr,
    seed: u64,
    outcome: &Arc<Mutex<LoadOutcome>>,
) -> anyhow::Result<Vec<Arc<LoadGuard>>> {
    let transport = LocalTransport::default();
    let clock = ProcessClock::start();
    let mut guards = Vec::new();
    let mut peers = HashMap::new();
    for number in 0..plan.services {
        let name = ServiceName::new(&format!("service-{number}"))?;
        let members: Vec<BatcherMember> = (0..plan.guards_per_service)
            .map(|index| batcher_member(number * plan.guards_per_service + index))
            .collect();
        for member in &members {
            let identity = ClaimIdentity {
                member: member.id,
                mesh: member.mesh,
            };
            let service = ClaimService::start(
                HttpTable::new(table, TABLE_TIMEOUT),
                transport.clone(),
                identity,
                ClaimLimits::default(),
                clock,
                StdRng::seed_from_u64(seed),
            );
            let batchers = if plan.is_batched {
                members.clone()
            } else {
                vec![*member]
            };
            service.set_members(name.clone(), batchers);
            service.divide_commit_rate(usize::from(plan.services)).await;
            peers.insert(member.mesh, service.clone());
            guards.push(Arc::new(LoadGuard {
                claims: service,
                service_name: name.clone(),
                clock,
                outcome: outcome.clone(),
            }));
        }
    }
    let is_set = transport.services.set(peers).is_ok();
    is_set
        .then_some(guards)
        .context("the guards of the transport were set before")
}

fn batcher_member(number: u16) -> BatcherMember {
    let address = SocketAddr::from(([127, 0, 0, 1], 10_000 + number));
    let id = MemberId {
        address,
        started_ms: 1,
    };
    BatcherMember { id, mesh: address }
}

fn print_row(plan: LoadPlan, seconds: u64, outcome: &LoadOutcome, standin: &PlatformStandin) {
    let counters = standin.counters();
    let per_s = |count: u64| count / seconds;
    let latency_ms = |quantile| {
        let micros = outcome.latency_us.value_at_quantile(quantile);
        Duration::from_micros(micros).as_secs_f64() * 1_000.0
    };
    println!(
        "| {} | {} | {} | {} | {} | {} | {:.1} | {:.1} | {} | {} | {} |",
        plan.services,
        plan.guards_per_service,
        if plan.is_batched {
            "batcher"
        } else {
            "each guard"
        },
        per_s(outcome.won + outcome.refused),
        per_s(outcome.won),
        per_s(outcome.refused),
        latency_ms(0.5),
        latency_ms(0.99),
        per_s(counters.transactions),
        counters.rows / counters.transactions.max(1),
        per_s(counters.capped),
    );
}

/// Resident memory of this process, in bytes.
fn resident_bytes() -> anyhow::Result<u64> {
    let status = fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().nth(1));
    let kib: u64 = kib
        .context("/proc/self/status has no VmRSS line with a value")?
        .parse()?;
    Ok(kib * 1_024)
}

/// Fills a ledger with recorded calls and prints its memory per call.
fn measure_ledger_memory() -> anyhow::Result<()> {
    let limits = ClaimLimits {
        recorded_calls: LEDGER_ENTRIES,
        recorded_bytes: usize::MAX,
        ..ClaimLimits::default()
    };
    let service_name = ServiceName::new("service-0")?;
    let bytes_before = resident_bytes()?;
    let mut ledger = ClaimLedger::<()>::new(limits);
    for number in 0..LEDGER_ENTRIES {
        let key = ClaimKey {
            service: service_name.clone(),
            key: IdempotencyKey::new(&format!("{number:036}"))?,
        };
        let new_entry = NewEntry {
            key,
            fingerprint: CallFingerprint::of("POST", "/purchases", b"body"),
            write_id: WriteId::generate(batcher_member(0).id, &mut StdRng::seed_from_u64(1)),
            expires: TimePoint::ORIGIN + KEY_WINDOW,
        };
        let LedgerDecision::New(entry) = ledger.register(new_entry) else {
            bail!("the ledger did not open an entry for call {number}");
        };
        ledger.mark_won(entry);
        ledger.dispatch(entry);
        ledger.complete(entry, recorded_response(RESPONSE_BODY_BYTES));
    }
    let used_bytes = resident_bytes()? - bytes_before;
    let entry_bytes = used_bytes / ledger.len() as u64;
    println!(
        "ledger: {entry_bytes} bytes per recorded call with a response body of {RESPONSE_BODY_BYTES} bytes"
    );
    Ok(())
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let flags = ClaimsLoad::from_env_or_exit();
    let seconds = flags.seconds.unwrap_or(10).max(1);
    let seed = flags.seed.unwrap_or(1);
    measure_ledger_memory()?;
    println!(
        "| services | guards per service | committed by | offered/s | won/s | refused/s | p50 ms | p99 ms \
         | transactions/s | rows per transaction | capped/s |"
    );
    println!("|--:|--:|--|--:|--:|--:|--:|--:|--:|--:|--:|");
    let plans = [(1, 5, 2.0), (1, 5, 20.0), (1, 150, 10.0), (15, 10, 10.0)];
    for (services, guards_per_service, calls_per_s) in plans {
        for is_batched in [false, true] {
            let plan = LoadPlan {
                services,
                guards_per_service,
                calls_per_s,
                is_batched,
            };
            measure_load(plan, seconds, seed).await?;
        }
    }
    Ok(())
}
