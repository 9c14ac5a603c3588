use {
    super::{
        fair_stream::FairStream, final_status::check_final, segmented_body::SegmentedBody,
        send_failure::SendFailure, silence_watch::SilenceWatch,
    },
    crate::error::{ProcessStep, StepError},
    h2::Reason,
    http::{Request, Response},
    hyper::{
        body::Incoming,
        client::conn::http2::{Builder, SendRequest},
    },
    hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer},
    std::{
        collections::HashMap,
        error::Error,
        net::SocketAddr,
        ops::ControlFlow,
        sync::{
            Arc, Mutex, PoisonError,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{
        net::TcpStream,
        sync::Mutex as AsyncMutex,
        time::{Instant, timeout, timeout_at},
    },
    tokio_util::io::InspectReader,
};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of connections on which one call is tried.
const MAX_SEND_ATTEMPTS: u32 = 2;
/// Bytes of a response that are received before they are read.
pub(crate) const STREAM_WINDOW_BYTES: u32 = 64 * 1024;
/// Much larger than the window of a stream, so that a slow reader of one response does not block
/// the others.
const CONNECTION_WINDOW_BYTES: u32 = 64 * 1024 * 1024;

/// Pool of HTTP/2 connections to other daemons, with one connection per daemon.
#[derive(Debug)]
pub(crate) struct MeshPool {
    peers: Mutex<HashMap<SocketAddr, Arc<AsyncMutex<Option<MeshConnection>>>>>,
    next_id: AtomicU64,
    silence: SilenceLimits,
}

/// Times for which nothing is received on a connection, not even a response to PING.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SilenceLimits {
    /// Time after which no further call is sent on the connection.
    pub(crate) reuse: Duration,
    /// Time after which the connection is closed, with the calls that still wait.
    pub(crate) close: Duration,
}

impl From<Duration> for SilenceLimits {
    fn from(limit: Duration) -> Self {
        Self {
            reuse: limit,
            close: limit,
        }
    }
}

#[derive(Clone, Debug)]
struct MeshConnection {
    id: u64,
    sender: SendRequest<SegmentedBody>,
    watch: SilenceWatch,
}

impl MeshPool {
    pub(crate) fn new(silence: SilenceLimits) -> Self {
        Self {
            peers: Mutex::default(),
            next_id: AtomicU64::new(0),
            silence,
        }
    }

    /// Sends a call and waits for the head of its response until the connection is silent.
    pub(crate) async fn send(
        &self,
        peer: SocketAddr,
        request: Request<SegmentedBody>,
        deadline: Instant,
    ) -> Result<Response<Incoming>, SendFailure> {
        let end_call = || ControlFlow::Break(());
        let sending = self.send_watched(peer, request, deadline, end_call);
        sending.await.map(|(response, _)| response)
    }

    /// Sends a call and waits for the head of its response. While the connection is silent,
    /// `on_silence` decides whether the call goes on waiting.
    pub(crate) async fn send_watched<S>(
        &self,
        peer: SocketAddr,
        request: Request<SegmentedBody>,
        deadline: Instant,
        mut on_silence: S,
    ) -> Result<(Response<Incoming>, SilenceWatch), SendFailure>
    where
        S: FnMut() -> ControlFlow<()>,
    {
        let mut request = request;
        // If the connection closes before the first byte is sent, hyper returns the request, which is
        // then sent on a new connection.
        for _ in 0..MAX_SEND_ATTEMPTS {
            let connection = self.connection(peer, deadline).await?;
            let mut sender = connection.sender.clone();
            let sending = sender.try_send_request(request);
            let watched = connection.watch.run(sending, &mut on_silence);
            match timeout_at(deadline, watched).await {
                Ok(Some(Ok(response))) => {
                    let response = check_final(response)
                        .map_err(|error| SendFailure::BadResponse(call_error(peer, error)))?;
                    return Ok((response, connection.watch));
                }
                Ok(None) => {
                    let error = call_error(peer, "nothing received, not even responses to PINGs");
                    return Err(SendFailure::Broken(error));
                }
                Ok(Some(Err(mut error))) => match error.take_message() {
                    Some(message) => {
                        self.discard(peer, connection.id).await;
                        request = message;
                    }
                    None => return Err(send_failure(peer, error.into_error())),
                },
                Err(_) => {
                    self.discard(peer, connection.id).await;
                    return Err(SendFailure::TimedOut(call_error(
                        peer,
                        "deadline passed before the response",
                    )));
                }
            }
        }
        Err(SendFailure::NotSent(call_error(
            peer,
            "connection closed before the call was sent",
        )))
    }

    async fn connection(
        &self,
        peer: SocketAddr,
        deadline: Instant,
    ) -> Result<MeshConnection, SendFailure> {
        let slot = self.slot(peer);
        let mut slot = timeout_at(deadline, slot.lock())
            .await
            .map_err(|_| SendFailure::NotSent(call_error(peer, "no connection by the deadline")))?;
        if let Some(connection) = slot.as_ref()
            && !connection.sender.is_closed()
            && !connection.watch.is_silent()
        {
            return Ok(connection.clone());
        }
        let connection = self.connect(peer).await.map_err(SendFailure::NotSent)?;
        *slot = Some(connection.clone());
        Ok(connection)
    }

    async fn connect(&self, peer: SocketAddr) -> Result<MeshConnection, StepError> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(peer))
            .await
            .map_err(|_| call_error(peer, format!("no connection within {CONNECT_TIMEOUT:?}")))?
            .map_err(|error| call_error(peer, error))?;
        stream
            .set_nodelay(true)
            .map_err(|error| call_error(peer, error))?;
        let watch = SilenceWatch::new(self.silence.reuse);
        let stream_watch = watch.clone();
        let stream = InspectReader::new(stream, move |bytes| {
            if !bytes.is_empty() {
                stream_watch.record_read();
            }
        });
        let ping_interval = self.silence.reuse / 2;
        let (sender, connection) = Builder::new(TokioExecutor::new())
            .timer(TokioTimer::new())
            .keep_alive_interval(ping_interval)
            .keep_alive_timeout(self.silence.close.saturating_sub(ping_interval))
            .initial_stream_window_size(STREAM_WINDOW_BYTES)
            .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
            .handshake(TokioIo::new(FairStream::new(stream)))
            .await
            .map_err(|error| call_error(peer, error))?;
        // An error of the connection is also returned to each of its calls.
        tokio::spawn(async move { connection.await.ok() });
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        Ok(MeshConnection { id, sender, watch })
    }

    /// Removes a connection from the pool; calls in flight on it continue.
    async fn discard(&self, peer: SocketAddr, id: u64) {
        let slot = self.slot(peer);
        let mut slot = slot.lock().await;
        if slot.as_ref().is_some_and(|connection| connection.id == id) {
            *slot = None;
        }
    }

    fn slot(&self, peer: SocketAddr) -> Arc<AsyncMutex<Option<MeshConnection>>> {
        let mut peers = self.peers.lock().unwrap_or_else(PoisonError::into_inner);
        peers.entry(peer).or_default().clone()
    }

    /// Drops the connections of peers that are no longer members.
    pub(crate) fn retain<F>(&self, mut is_member: F)
    where
        F: FnMut(&SocketAddr) -> bool,
    {
        let mut peers = self.peers.lock().unwrap_or_else(PoisonError::into_inner);
        peers.retain(|peer, _| is_member(peer));
    }
}

/// Failure of a call that hyper has sent, in part at least.
fn send_failure(peer: SocketAddr, error: hyper::Error) -> SendFailure {
    let cause = error.source().and_then(<dyn Error>::downcast_ref);
    let is_refused = cause.is_some_and(|cause: &h2::Error| {
        cause.is_remote() && cause.is_reset() && cause.reason() == Some(Reason::REFUSED_STREAM)
    });
    let error = call_error(peer, error);
    if is_refused {
        SendFailure::NotSent(error)
    } else {
        SendFailure::Broken(error)
    }
}

fn call_error<E>(peer: SocketAddr, error: E) -> StepError
where
    E: Into<Box<dyn Error + Send + Sync>>,
{
    StepError::new(ProcessStep::CallMesh, peer, error)
}
