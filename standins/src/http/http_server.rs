use {
    crate::response::StandinBody,
    http::{Request, Response},
    hyper::{body::Incoming, service::service_fn},
    hyper_util::{
        rt::{TokioExecutor, TokioIo},
        server::conn::auto::Builder,
    },
    std::{
        convert::Infallible,
        future::Future,
        io,
        net::SocketAddr,
        pin::pin,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
    },
    tokio::{
        net::{TcpListener, TcpStream},
        sync::watch,
        task::JoinHandle,
    },
};

/// Responds to the requests of a server; the future is dropped when the caller cancels.
pub trait HttpService: Clone + Send + Sync + 'static {
    fn respond(
        &self,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<StandinBody>> + Send;
}

/// A server with a limited number of connections; dropping it closes all of them immediately.
#[derive(Debug)]
pub struct HttpServer {
    address: SocketAddr,
    open_connections: Arc<AtomicUsize>,
    phase: watch::Sender<ServerPhase>,
    task: JoinHandle<()>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ServerPhase {
    Serving,
    Draining,
    Closed,
}

impl HttpServer {
    /// Listens on `address` and serves at most `max_connections` at once; further connections are
    /// closed without a response.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub async fn start<S>(
        address: SocketAddr,
        max_connections: usize,
        service: S,
    ) -> io::Result<Self>
    where
        S: HttpService,
    {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let open_connections = Arc::new(AtomicUsize::new(0));
        let (sender, receiver) = watch::channel(ServerPhase::Serving);
        let acceptor = ConnectionAcceptor {
            max_connections,
            open_connections: Arc::clone(&open_connections),
            phase: receiver,
            service,
        };
        let task = tokio::spawn(acceptor.accept(listener));
        Ok(Self {
            address,
            open_connections,
            phase: sender,
            task,
        })
    }

    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.open_connections.load(Ordering::Relaxed)
    }

    /// Stops accepting connections and lets the requests in flight complete.
    pub fn begin_shutdown(&self) {
        self.phase.send_replace(ServerPhase::Draining);
        self.task.abort();
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        self.phase.send_replace(ServerPhase::Closed);
        self.task.abort();
    }
}

struct ConnectionAcceptor<S> {
    max_connections: usize,
    open_connections: Arc<AtomicUsize>,
    phase: watch::Receiver<ServerPhase>,
    service: S,
}

impl<S: HttpService> ConnectionAcceptor<S> {
    async fn accept(self, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                continue;
            };
            if self.open_connections.load(Ordering::Relaxed) >= self.max_connections {
                continue;
            }
            let guard = ConnectionGuard::new(&self.open_connections);
            let service = self.service.clone();
            let phase = self.phase.clone();
            tokio::spawn(async move {
                serve(stream, service, phase).await;
                drop(guard);
            });
        }
    }
}

async fn serve<S: HttpService>(
    stream: TcpStream,
    service: S,
    mut phase: watch::Receiver<ServerPhase>,
) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let handler = service_fn(move |request| {
        let service = service.clone();
        async move { Ok::<_, Infallible>(service.respond(request).await) }
    });
    let builder = Builder::new(TokioExecutor::new());
    let mut connection = pin!(builder.serve_connection(TokioIo::new(stream), handler));
    loop {
        tokio::select! {
            _ = connection.as_mut() => return,
            changed = phase.changed() => {
                let is_closed = *phase.borrow_and_update() == ServerPhase::Closed;
                if is_closed || changed.is_err() {
                    return;
                }
                connection.as_mut().graceful_shutdown();
            }
        }
    }
}

struct ConnectionGuard(Arc<AtomicUsize>);

impl ConnectionGuard {
    fn new(open_connections: &Arc<AtomicUsize>) -> Self {
        open_connections.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(open_connections))
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
