use {
    crate::answer::AnswerBody,
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

/// Answers the requests of a server; the future is dropped when the caller cancels.
pub trait HttpService: Clone + Send + Sync + 'static {
    fn answer(
        &self,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<AnswerBody>> + Send;
}

/// A listener with a bound on its connections; dropping it ends all of them at once.
#[derive(Debug)]
pub struct HttpServer {
    address: SocketAddr,
    open: Arc<AtomicUsize>,
    stop: watch::Sender<ServerPhase>,
    task: JoinHandle<()>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ServerPhase {
    Serving,
    Stopping,
    Closed,
}

impl HttpServer {
    /// Listens on `address` and serves at most `connections` at once; more are closed unheard.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub async fn start<S>(address: SocketAddr, connections: usize, service: S) -> io::Result<Self>
    where
        S: HttpService,
    {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let open = Arc::new(AtomicUsize::new(0));
        let (stop, phase) = watch::channel(ServerPhase::Serving);
        let acceptor = ConnectionAcceptor {
            connections,
            open: Arc::clone(&open),
            phase,
            service,
        };
        let task = tokio::spawn(acceptor.accept(listener));
        Ok(Self {
            address,
            open,
            stop,
            task,
        })
    }

    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Accepts nothing more and lets the requests in flight end.
    pub fn begin_stop(&self) {
        self.stop.send_replace(ServerPhase::Stopping);
        self.task.abort();
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        self.stop.send_replace(ServerPhase::Closed);
        self.task.abort();
    }
}

struct ConnectionAcceptor<S> {
    connections: usize,
    open: Arc<AtomicUsize>,
    phase: watch::Receiver<ServerPhase>,
    service: S,
}

impl<S: HttpService> ConnectionAcceptor<S> {
    async fn accept(self, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                continue;
            };
            if self.open.load(Ordering::Relaxed) >= self.connections {
                continue;
            }
            let place = ConnectionPlace::take(&self.open);
            let service = self.service.clone();
            let phase = self.phase.clone();
            tokio::spawn(async move {
                serve(stream, service, phase).await;
                drop(place);
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
    let answer = service_fn(move |request| {
        let service = service.clone();
        async move { Ok::<_, Infallible>(service.answer(request).await) }
    });
    let builder = Builder::new(TokioExecutor::new());
    let mut connection = pin!(builder.serve_connection(TokioIo::new(stream), answer));
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

struct ConnectionPlace(Arc<AtomicUsize>);

impl ConnectionPlace {
    fn take(open: &Arc<AtomicUsize>) -> Self {
        open.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(open))
    }
}

impl Drop for ConnectionPlace {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
