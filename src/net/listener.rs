use {
    super::{
        caller_connection::{CallerConnection, ConnectionEnd},
        caller_input::{CallerInput, RequestArrival},
        fair_stream::FairStream,
        read_ahead_stream::ReadAheadStream,
    },
    crate::{
        error::{ProcessStep, StepError},
        time::BootClock,
    },
    bytes::Bytes,
    http::{Request, Response},
    hyper::{
        body::{Body, Incoming},
        server::conn::{http1, http2},
        service::{Service, service_fn},
    },
    hyper_util::{
        rt::{TokioExecutor, TokioIo, TokioTimer},
        server::{conn::auto, graceful::GracefulConnection},
    },
    std::{convert::Infallible, error::Error, iter, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        sync::{OwnedSemaphorePermit, Semaphore},
        time::{sleep, timeout},
    },
    tokio_util::{sync::CancellationToken, task::TaskTracker},
};

/// Maximum number of concurrent HTTP/2 streams per connection.
const MAX_CONCURRENT_STREAMS: u32 = 4_096;
const STREAM_WINDOW_BYTES: u32 = 256 * 1024;
/// Much larger than the window of a stream, so that a request body that is read slowly does not
/// block the others.
const CONNECTION_WINDOW_BYTES: u32 = 64 * 1024 * 1024;
/// Bytes of a response between daemons that wait to be sent.
pub(crate) const MAX_SEND_BUFFER_BYTES: usize = 64 * 1024;
/// Maximum number of headers of an HTTP/1.1 request.
const MAX_HEADERS: usize = 128;
/// Smallest read buffer that hyper accepts for HTTP/1.1, in bytes.
const MIN_READ_BUFFER_BYTES: usize = 8 * 1024;
/// Time that a caller has to close its end of a connection that the server has closed.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay after a failed accept, so that the loop does not spin while file descriptors are
/// exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Limits of one listener.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ListenerLimits {
    /// Maximum size of the request headers in bytes.
    pub(crate) header_bytes: usize,
    /// Time within which the headers of an HTTP/1.1 request must arrive. Also the interval and the
    /// timeout of HTTP/2 PINGs, except between daemons.
    pub(crate) header_timeout: Duration,
    /// Maximum number of open connections.
    pub(crate) connections: usize,
    /// Time after which a connection between daemons on which nothing was received is closed.
    pub(crate) silence_timeout: Duration,
}

/// Shutdown of a group of listeners and their connections.
#[derive(Clone, Debug, Default)]
pub(crate) struct ListenerShutdown {
    /// Once cancelled, listeners stop accepting, and connections close after their requests in
    /// flight.
    pub(crate) draining: CancellationToken,
    /// Once cancelled, the remaining connections close at once.
    pub(crate) closed: CancellationToken,
    pub(crate) tracker: TaskTracker,
}

impl ListenerShutdown {
    /// Closes listeners and connections at once.
    pub(crate) fn close(&self) {
        self.draining.cancel();
        self.closed.cancel();
    }
}

/// Binds a TCP listener.
pub(crate) async fn bind(address: SocketAddr) -> Result<TcpListener, StepError> {
    TcpListener::bind(address)
        .await
        .map_err(|error| StepError::new(ProcessStep::BindListener, address, error))
}

/// Serves HTTP/1.1 and HTTP/2 until `shutdown`.
pub(crate) async fn serve_http<F, R, B>(
    listener: TcpListener,
    limits: ListenerLimits,
    shutdown: ListenerShutdown,
    handler: F,
) where
    F: Fn(Request<Incoming>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Response<B>> + Send + 'static,
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_timeout)
        .max_headers(MAX_HEADERS)
        .max_buf_size(limits.header_bytes.max(MIN_READ_BUFFER_BYTES));
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_concurrent_streams(MAX_CONCURRENT_STREAMS)
        .max_header_list_size(u32::try_from(limits.header_bytes).unwrap_or(u32::MAX))
        .keep_alive_interval(limits.header_timeout)
        .keep_alive_timeout(limits.header_timeout);
    accept_connections(
        listener,
        limits.connections,
        shutdown,
        move |stream, shutdown| {
            let service = handler_service(handler.clone());
            let connection =
                builder.serve_connection(TokioIo::new(FairStream::new(stream)), service);
            serve_until_shutdown(connection.into_owned(), shutdown)
        },
    )
    .await;
}

/// Serves HTTP/1.1 until `shutdown`. `limits` is called for each new connection.
pub(crate) async fn serve_http1<L, F, R, B>(
    listener: TcpListener,
    limits: L,
    shutdown: ListenerShutdown,
    handler: F,
) where
    L: Fn() -> ListenerLimits,
    F: Fn(Request<Incoming>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Response<B>> + Send + 'static,
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let max_connections = limits().connections;
    accept_connections(
        listener,
        max_connections,
        shutdown,
        move |stream, shutdown| {
            let service = handler_service(handler.clone());
            let builder = http1_builder(limits());
            serve_until_shutdown(
                builder.serve_connection(TokioIo::new(FairStream::new(stream)), service),
                shutdown,
            )
        },
    )
    .await;
}

/// Serves HTTP/1.1 to callers until `shutdown`; the handler gets the arrival of each request, which
/// it must keep until the response.
///
/// The header timeout of the newest `limits` is also the time for which a connection may be idle.
///
/// Pipelined requests are handled one after another, in the order in which they were sent. Those
/// behind a response that closes the connection are not handled, and none is once the caller has
/// left.
pub(crate) async fn serve_callers<L, F, R, B>(
    listener: TcpListener,
    limits: L,
    clock: BootClock,
    shutdown: ListenerShutdown,
    handler: F,
) where
    L: Fn() -> ListenerLimits + Clone + Send + Sync + 'static,
    F: Fn(Request<Incoming>, RequestArrival) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Response<B>> + Send + 'static,
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let max_connections = limits().connections;
    accept_connections(
        listener,
        max_connections,
        shutdown,
        move |stream, shutdown| {
            let (reader, writer) = stream.into_split();
            let input = Arc::new(CallerInput::new(clock));
            let handler = handler.clone();
            let request_input = input.clone();
            let service =
                handler_service(move |request| handler(request, request_input.start_request()));
            let stream = ReadAheadStream::new(input.clone(), writer);
            let mut builder = http1_builder(limits());
            // The connection's own timer takes its place.
            builder.header_read_timeout(None);
            let connection = builder.serve_connection(TokioIo::new(stream), service);
            let limits = limits.clone();
            async move {
                let caller = CallerConnection {
                    connection: Box::pin(connection),
                    input: &input,
                    reader: &reader,
                };
                let idle_timeout = || limits().header_timeout;
                tokio::select! {
                    end = caller.serve(idle_timeout, &shutdown) => {
                        if end == ConnectionEnd::Idle {
                            return;
                        }
                    }
                    () = input.read_until_abandoned(&reader) => return,
                }
                // A caller that keeps the connection open past the timeout gets a reset.
                timeout(CLOSE_TIMEOUT, input.discard_rest(&reader))
                    .await
                    .ok();
            }
        },
    )
    .await;
}

fn http1_builder(limits: ListenerLimits) -> http1::Builder {
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_timeout)
        .max_headers(MAX_HEADERS)
        .max_buf_size(limits.header_bytes.max(MIN_READ_BUFFER_BYTES));
    builder
}

/// Serves HTTP/2 between daemons until `shutdown`. Connections without a response to PINGs are
/// closed.
pub(crate) async fn serve_mesh<F, R, B>(
    listener: TcpListener,
    limits: ListenerLimits,
    shutdown: ListenerShutdown,
    handler: F,
) where
    F: Fn(Request<Incoming>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Response<B>> + Send + 'static,
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let mut builder = http2::Builder::new(TokioExecutor::new());
    builder
        .timer(TokioTimer::new())
        .max_concurrent_streams(MAX_CONCURRENT_STREAMS)
        .max_header_list_size(u32::try_from(limits.header_bytes).unwrap_or(u32::MAX))
        .initial_stream_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .max_send_buf_size(MAX_SEND_BUFFER_BYTES)
        .keep_alive_interval(limits.silence_timeout / 2)
        .keep_alive_timeout(limits.silence_timeout / 2);
    accept_connections(
        listener,
        limits.connections,
        shutdown,
        move |stream, shutdown| {
            let service = handler_service(handler.clone());
            let connection =
                builder.serve_connection(TokioIo::new(FairStream::new(stream)), service);
            serve_until_shutdown(connection, shutdown)
        },
    )
    .await;
}

/// Creates a service that passes each request to `handler`.
fn handler_service<F, R, B>(
    handler: F,
) -> impl Service<Request<Incoming>, Response = Response<B>, Error = Infallible, Future: Send + 'static>
+ Send
+ 'static
where
    F: Fn(Request<Incoming>) -> R + Send + 'static,
    R: Future<Output = Response<B>> + Send + 'static,
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    service_fn(move |request| {
        // The handler's state is boxed so that it takes no memory in connections that are idle.
        let response = Box::pin(handler(request));
        async move { Ok::<_, Infallible>(response.await) }
    })
}

/// Serves each accepted connection in a separate task until `shutdown`, and then those that wait to
/// be accepted.
async fn accept_connections<F, R>(
    listener: TcpListener,
    max_connections: usize,
    shutdown: ListenerShutdown,
    serve_stream: F,
) where
    F: Fn(TcpStream, ListenerShutdown) -> R,
    R: Future<Output = ()> + Send + 'static,
{
    // A shutdown that waits for the connections waits for those that are accepted last, too.
    let _token = shutdown.tracker.token();
    let permits = Arc::new(Semaphore::new(max_connections));
    let spawn_serving = |stream: TcpStream, permit: Option<OwnedSemaphorePermit>| {
        stream.set_nodelay(true).ok();
        let serving = serve_stream(stream, shutdown.clone());
        shutdown.tracker.spawn(async move {
            serving.await;
            drop(permit);
        });
    };
    loop {
        let accepting = async {
            let permit = permits.clone().acquire_owned().await;
            (permit, listener.accept().await)
        };
        let (permit, accepted) = tokio::select! {
            accepted = accepting => accepted,
            () = shutdown.draining.cancelled() => break,
        };
        if let Ok((stream, _)) = accepted {
            spawn_serving(stream, permit.ok());
        } else {
            sleep(ACCEPT_RETRY_DELAY).await;
        }
    }
    for stream in accept_waiting(listener) {
        spawn_serving(stream, permits.clone().try_acquire_owned().ok());
    }
}

/// Closes a listener and returns the connections that were waiting to be accepted, which it would
/// reset otherwise.
fn accept_waiting(listener: TcpListener) -> Vec<TcpStream> {
    let Ok(listener) = listener.into_std() else {
        return Vec::new();
    };
    let accepting = iter::from_fn(|| listener.accept().ok());
    let streams = accepting.filter_map(|(stream, _)| {
        stream.set_nonblocking(true).ok()?;
        TcpStream::from_std(stream).ok()
    });
    streams.collect()
}

/// Serves a connection until it ends, drains or is closed.
async fn serve_until_shutdown<C>(connection: C, shutdown: ListenerShutdown)
where
    C: GracefulConnection,
{
    tokio::pin!(connection);
    tokio::select! {
        _ = connection.as_mut() => return,
        () = shutdown.draining.cancelled() => connection.as_mut().graceful_shutdown(),
    }
    tokio::select! {
        _ = connection.as_mut() => {}
        () = shutdown.closed.cancelled() => {}
    }
}
