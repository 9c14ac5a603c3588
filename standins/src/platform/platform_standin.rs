use {
    super::{
        PlatformCounters, PlatformMode, TableRows, platform_state::PlatformState,
        table_routes::respond,
    },
    anyhow::Context,
    hyper::{server::conn::http1, service::service_fn},
    hyper_util::rt::TokioIo,
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
    },
    tokio::{
        net::{TcpListener, TcpStream},
        task::{JoinHandle, JoinSet},
    },
};

/// A running stand-in; dropping it stops its server.
#[derive(Debug)]
pub struct PlatformStandin {
    address: SocketAddr,
    state: SharedState,
    task: JoinHandle<()>,
}

/// State that all connections share.
#[derive(Clone, Debug)]
pub(super) struct SharedState(Arc<Mutex<PlatformState>>);

impl SharedState {
    pub(super) fn lock(&self) -> MutexGuard<'_, PlatformState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl PlatformStandin {
    /// Starts a server on `listen`; port 0 selects a free port.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub async fn start(listen: SocketAddr, mode: PlatformMode) -> anyhow::Result<Self> {
        let listener = TcpListener::bind(listen)
            .await
            .with_context(|| format!("cannot bind the platform stand-in to {listen}"))?;
        let address = listener.local_addr()?;
        let state = SharedState(Arc::new(Mutex::new(PlatformState::new(mode))));
        let task = tokio::spawn(accept_all(listener, state.clone()));
        Ok(Self {
            address,
            state,
            task,
        })
    }

    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    pub fn set_mode(&self, mode: PlatformMode) {
        self.state.lock().set_mode(mode);
    }

    #[must_use]
    pub fn counters(&self) -> PlatformCounters {
        self.state.lock().counters
    }

    /// A copy of all tables.
    #[must_use]
    pub fn tables(&self) -> TableRows {
        self.state.lock().tables.clone()
    }
}

impl Drop for PlatformStandin {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept_all(listener: TcpListener, state: SharedState) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { break };
                state.lock().counters.connections += 1;
                connections.spawn(serve_stream(stream, state.clone()));
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn serve_stream(stream: TcpStream, state: SharedState) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| respond(request, state.clone()));
    // The error is ignored: closed connections are one of the injected faults.
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}
