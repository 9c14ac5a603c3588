//! Simulated processes with their access to the table and the network.

use {
    banyantrestle::{
        claims::{
            ClaimService, ClaimTransport, CommitReply, CommitRequest, HolderQuery, HolderReply,
            TransportError,
        },
        table::{TableError, TableRow, TableStore, TableWrite, WriteResult},
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    standins::platform::MemoryTable,
    std::{
        collections::HashMap,
        future::pending,
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::{select, sync::watch, time::sleep},
};

pub type FleetService = ClaimService<FleetTable, FleetTransport>;

/// Execution state of a simulated process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessState {
    Running,
    Paused,
    Killed,
}

/// Simulated process that can be paused and killed wherever it waits for I/O.
#[derive(Clone, Debug)]
pub struct FleetProcess(Arc<watch::Sender<ProcessState>>);

impl FleetProcess {
    pub fn start() -> Self {
        Self(Arc::new(watch::Sender::new(ProcessState::Running)))
    }

    pub fn set(&self, state: ProcessState) {
        self.0.send_modify(|current| {
            if *current != ProcessState::Killed {
                *current = state;
            }
        });
    }

    /// Waits until the process runs. Never returns if it was killed.
    pub async fn wait_until_running(&self) {
        let mut states = self.0.subscribe();
        let state = states
            .wait_for(|state| *state != ProcessState::Paused)
            .await
            .map(|state| *state);
        if !matches!(state, Ok(ProcessState::Running)) {
            pending::<()>().await;
        }
    }

    /// Waits until the process is killed.
    async fn wait_until_killed(&self) {
        let mut states = self.0.subscribe();
        let state = states
            .wait_for(|state| *state == ProcessState::Killed)
            .await;
        state.unwrap();
    }
}

/// Access of one process to the shared table.
#[derive(Clone, Debug)]
pub struct FleetTable {
    table: MemoryTable,
    process: FleetProcess,
}

impl FleetTable {
    pub fn new(table: MemoryTable, process: FleetProcess) -> Self {
        Self { table, process }
    }
}

impl TableStore for FleetTable {
    async fn transact(&self, writes: Vec<TableWrite>) -> Result<Vec<WriteResult>, TableError> {
        self.process.wait_until_running().await;
        let table = self.table.clone();
        let result = tokio::spawn(async move { table.transact(writes).await });
        let result = result.await.unwrap();
        self.process.wait_until_running().await;
        result
    }

    async fn read(
        &self,
        table: &str,
        keys: Vec<String>,
    ) -> Result<Vec<Option<TableRow>>, TableError> {
        self.process.wait_until_running().await;
        let result = self.table.read(table, keys).await;
        self.process.wait_until_running().await;
        result
    }

    async fn scan(
        &self,
        table: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<TableRow>, TableError> {
        self.process.wait_until_running().await;
        self.table.scan(table, after, limit).await
    }
}

/// Share of messages between daemons that get each fault, in %.
#[derive(Clone, Copy, Debug, Default)]
pub struct LinkFaults {
    pub unreached: u32,
    pub lose_request: u32,
    pub lose_reply: u32,
    /// The request is served twice.
    pub duplicate: u32,
    /// The reply is that of an earlier request.
    pub wrong_reply: u32,
    pub max_delay: Duration,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LinkFault {
    None,
    Unreached,
    LoseRequest,
    LoseReply,
    Duplicate,
    WrongReply,
}

/// Network between the processes.
pub struct FleetNetwork {
    services: HashMap<SocketAddr, (FleetService, FleetProcess)>,
    faults: LinkFaults,
    rng: StdRng,
    last_commit: Option<CommitReply>,
}

impl FleetNetwork {
    pub fn new() -> Self {
        Self {
            services: HashMap::new(),
            faults: LinkFaults::default(),
            rng: StdRng::seed_from_u64(1),
            last_commit: None,
        }
    }

    pub fn set_faults(&mut self, faults: LinkFaults, seed: u64) {
        self.faults = faults;
        self.rng = StdRng::seed_from_u64(seed);
    }

    pub fn listen(&mut self, mesh: SocketAddr, service: FleetService, process: FleetProcess) {
        self.services.insert(mesh, (service, process));
    }

    pub fn close(&mut self, mesh: SocketAddr) {
        self.services.remove(&mesh);
    }
}

/// Transport of messages from one process to the others.
#[derive(Clone)]
pub struct FleetTransport {
    network: Arc<Mutex<FleetNetwork>>,
    process: FleetProcess,
}

impl FleetTransport {
    pub fn new(network: Arc<Mutex<FleetNetwork>>, process: FleetProcess) -> Self {
        Self { network, process }
    }

    fn draw(&self) -> (LinkFault, Duration) {
        let mut network = self.network.lock().unwrap();
        let faults = network.faults;
        let delay = faults.max_delay.mul_f64(network.rng.random());
        let shares = [
            (faults.unreached, LinkFault::Unreached),
            (faults.lose_request, LinkFault::LoseRequest),
            (faults.lose_reply, LinkFault::LoseReply),
            (faults.duplicate, LinkFault::Duplicate),
            (faults.wrong_reply, LinkFault::WrongReply),
        ];
        let mut point = network.rng.random_range(0..100);
        for (share, fault) in shares {
            if point < share {
                return (fault, delay);
            }
            point -= share;
        }
        (LinkFault::None, delay)
    }

    /// Returns the peer after the delay and fault of the request.
    async fn peer(
        &self,
        mesh: SocketAddr,
        fault: LinkFault,
        delay: Duration,
    ) -> Result<(FleetService, FleetProcess), TransportError> {
        self.process.wait_until_running().await;
        sleep(delay).await;
        match fault {
            LinkFault::Unreached => return Err(TransportError::Unreachable("by the test".into())),
            LinkFault::LoseRequest => return Err(no_reply()),
            _ => {}
        }
        let network = self.network.lock().unwrap();
        let peer = network.services.get(&mesh).cloned();
        peer.ok_or_else(|| TransportError::Unreachable("no process listens at the address".into()))
    }

    async fn return_reply<A>(
        &self,
        reply: A,
        fault: LinkFault,
        delay: Duration,
    ) -> Result<A, TransportError> {
        sleep(delay).await;
        self.process.wait_until_running().await;
        match fault {
            LinkFault::LoseReply => Err(no_reply()),
            _ => Ok(reply),
        }
    }
}

impl ClaimTransport for FleetTransport {
    async fn send_commit(
        &self,
        peer_mesh: SocketAddr,
        request: CommitRequest,
    ) -> Result<CommitReply, TransportError> {
        let (fault, delay) = self.draw();
        let (service, process) = self.peer(peer_mesh, fault, delay).await?;
        if fault == LinkFault::Duplicate {
            let service = service.clone();
            let request = request.clone();
            tokio::spawn(async move {
                sleep(delay * 3).await;
                service.serve_commit(request).await;
            });
        }
        // The peer continues when the guard no longer waits.
        let served = tokio::spawn(async move {
            process.wait_until_running().await;
            let reply = service.serve_commit(request).await;
            process.wait_until_running().await;
            reply
        });
        let reply = served.await.unwrap();
        let previous = {
            let mut network = self.network.lock().unwrap();
            network.last_commit.replace(reply.clone())
        };
        let reply = match (fault, previous) {
            (LinkFault::WrongReply, Some(previous)) => previous,
            _ => reply,
        };
        self.return_reply(reply, fault, delay).await
    }

    async fn query_holder(
        &self,
        peer_mesh: SocketAddr,
        request: HolderQuery,
    ) -> Result<HolderReply, TransportError> {
        let (fault, delay) = self.draw();
        let (service, process) = self.peer(peer_mesh, fault, delay).await?;
        let served = async {
            process.wait_until_running().await;
            let reply = service.serve_query(request).await;
            process.wait_until_running().await;
            reply
        };
        // The connection is closed when the process is killed.
        let reply = select! {
            biased;
            () = process.wait_until_killed() => return Err(no_reply()),
            reply = served => reply,
        };
        self.return_reply(reply, fault, delay).await
    }
}

pub fn no_reply() -> TransportError {
    TransportError::NoReply("by the test".into())
}
