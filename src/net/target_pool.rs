use {
    super::{
        fair_stream::FairStream, final_status::check_final, interim_count::InterimCount,
        segmented_body::SegmentedBody, send_failure::SendFailure,
    },
    crate::error::{ProcessStep, StepError},
    http::{Request, Response, StatusCode},
    hyper::{
        body::{Body, Incoming},
        client::conn::http1::{Builder, Connection, SendRequest},
        ext::on_informational,
    },
    hyper_util::rt::TokioIo,
    std::{
        future::poll_fn,
        net::SocketAddr,
        pin::pin,
        sync::{Arc, Mutex, PoisonError},
        task::Poll,
        time::Duration,
    },
    tokio::{
        net::TcpStream,
        sync::{OwnedSemaphorePermit, Semaphore},
        time::{Instant, sleep_until, timeout, timeout_at},
    },
};

/// Maximum read buffer of a connection, which also bounds the head of a response.
pub(crate) const MAX_READ_BUFFER_BYTES: usize = 64 * 1024;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time in which a connection whose response has ended accepts the next call.
const MAX_READY_DELAY: Duration = Duration::from_millis(10);
/// Length up to which a body is sent in one flight (RFC 6928), so that it has arrived when the
/// target responds.
const INITIAL_WINDOW_BYTES: u64 = 14_600;
/// Maximum number of idle connections in the pool.
const MAX_IDLE_CONNECTIONS: usize = 256;
/// Refused calls after which a connection is closed.
const MAX_REFUSED_CALLS: usize = 8;
/// Longest time for which an idle connection is kept, also if the target specifies none.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_secs(3_600);

/// Pool of HTTP/1.1 connections to the target beside the daemon.
#[derive(Debug)]
pub(crate) struct TargetPool {
    target: SocketAddr,
    idle: Mutex<Vec<IdleConnection>>,
    permits: Arc<Semaphore>,
}

#[derive(Debug)]
struct IdleConnection {
    sender: SendRequest<SegmentedBody>,
    lease: ConnectionLease,
    idle_since: Instant,
    /// Time from which the target may close the connection.
    expires_at: Instant,
    refused_calls: RefusedCalls,
}

/// Ids of the calls that the target has refused on a connection.
///
/// A faulty target may write a refusal once more. Its id keeps it from being taken for the response
/// to another call, but not from being taken for that to the same call when it is sent again.
#[derive(Debug, Default)]
struct RefusedCalls(Vec<Box<str>>);

impl RefusedCalls {
    fn contains(&self, call_id: &str) -> bool {
        self.0.iter().any(|id| **id == *call_id)
    }
}

/// Which idle connections a call may use.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReuseRule<'a> {
    /// Maximum time for which the connection was idle.
    pub(crate) max_idle_time: Duration,
    /// Id of the call; it does not use a connection on which it was refused.
    pub(crate) call_id: &'a str,
}

impl ReuseRule<'_> {
    /// Any idle connection; for calls that are sent once.
    pub(crate) const ANY: Self = Self {
        max_idle_time: Duration::MAX,
        call_id: "",
    };
}

/// Time at which a connection is closed; `None` while it is idle.
///
/// A target may send bytes that are no response without end, and then reading never finds that the
/// call has ended.
#[derive(Clone, Debug, Default)]
struct ConnectionLease(Arc<Mutex<Option<Instant>>>);

impl ConnectionLease {
    fn set(&self, end: Option<Instant>) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = end;
    }

    fn end(&self) -> Option<Instant> {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A connection in use by one call; dropping it closes it unless it was released.
#[derive(Debug)]
pub(crate) struct TargetConnection {
    sender: SendRequest<SegmentedBody>,
    lease: ConnectionLease,
    refused_calls: RefusedCalls,
    /// Whether the target may read a call on it late.
    may_be_unread: bool,
    pool: Arc<TargetPool>,
    _permit: OwnedSemaphorePermit,
}

impl TargetPool {
    pub(crate) fn new(target: SocketAddr, connections: u32) -> Arc<Self> {
        Arc::new(Self {
            target,
            idle: Mutex::default(),
            permits: Arc::new(Semaphore::new(connections.max(1) as usize)),
        })
    }

    pub(crate) const fn target(&self) -> SocketAddr {
        self.target
    }

    /// Sends a call and waits for the head of its response.
    pub(crate) async fn send(
        self: &Arc<Self>,
        request: Request<SegmentedBody>,
        deadline: Instant,
    ) -> Result<(Response<Incoming>, TargetConnection), SendFailure> {
        loop {
            let connection = self.connection(ReuseRule::ANY, deadline).await?;
            match connection.send(request.clone(), deadline).await {
                Err(SendFailure::NotSent(_)) => {}
                sent => return sent,
            }
        }
    }

    /// Returns a new connection, or an idle one that `rule` allows, for a call that ends at
    /// `deadline`.
    pub(crate) async fn connection(
        self: &Arc<Self>,
        rule: ReuseRule<'_>,
        deadline: Instant,
    ) -> Result<TargetConnection, SendFailure> {
        let acquiring = self.permits.clone().acquire_owned();
        let permit = timeout_at(deadline, acquiring)
            .await
            .map_err(|_| SendFailure::NotSent(self.error("no free connection by the deadline")))?
            .map_err(|error| SendFailure::NotSent(self.error(error)))?;
        let (sender, lease, refused_calls) = if let Some(idle) = self.acquire_idle(rule).await {
            (idle.sender, idle.lease, idle.refused_calls)
        } else {
            let (sender, lease) = self.connect().await.map_err(SendFailure::NotSent)?;
            (sender, lease, RefusedCalls::default())
        };
        lease.set(Some(deadline));
        Ok(TargetConnection {
            sender,
            lease,
            refused_calls,
            may_be_unread: false,
            pool: self.clone(),
            _permit: permit,
        })
    }

    async fn acquire_idle(&self, rule: ReuseRule<'_>) -> Option<IdleConnection> {
        while let Some(mut idle) = self.pop_idle(rule) {
            // A target may respond before it has read the whole call, and read on later. A call that
            // waited for that could reach it after its deadline, or after the target has left.
            if let Ok(Ok(())) = timeout(MAX_READY_DELAY, idle.sender.ready()).await {
                return Some(idle);
            }
            idle.lease.set(Some(Instant::now()));
        }
        None
    }

    /// Takes the most recently used connection that has not expired and that `rule` allows.
    fn pop_idle(&self, rule: ReuseRule<'_>) -> Option<IdleConnection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        loop {
            let is_allowed =
                |connection: &IdleConnection| !connection.refused_calls.contains(rule.call_id);
            let index = idle.iter().rposition(is_allowed)?;
            // The connections below it were idle even longer.
            if now - idle[index].idle_since > rule.max_idle_time {
                return None;
            }
            let connection = idle.remove(index);
            if connection.expires_at > now {
                return Some(connection);
            }
        }
    }

    /// Closes all idle connections.
    pub(crate) fn close_idle(&self) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.clear();
    }

    async fn connect(&self) -> Result<(SendRequest<SegmentedBody>, ConnectionLease), StepError> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.target))
            .await
            .map_err(|_| self.error(format!("no connection within {CONNECT_TIMEOUT:?}")))?
            .map_err(|error| self.error(error))?;
        stream
            .set_nodelay(true)
            .map_err(|error| self.error(error))?;
        let (sender, connection) = Builder::new()
            .max_buf_size(MAX_READ_BUFFER_BYTES)
            .handshake(TokioIo::new(FairStream::new(stream)))
            .await
            .map_err(|error| self.error(error))?;
        let lease = ConnectionLease::default();
        tokio::spawn(run_connection(connection, lease.clone()));
        Ok((sender, lease))
    }

    fn error<E>(&self, error: E) -> StepError
    where
        E: Into<Box<dyn std::error::Error + Send + Sync>>,
    {
        StepError::new(ProcessStep::CallTarget, self.target, error)
    }
}

/// Whether a target may have responded to a call before it has read its body. It reads on later, and
/// the next call behind that.
fn may_be_unread(status: StatusCode, body_length: u64) -> bool {
    let is_rejected = status.is_client_error() || status.is_server_error();
    let is_long = body_length > INITIAL_WINDOW_BYTES;
    status == StatusCode::PAYLOAD_TOO_LARGE || is_rejected && is_long
}

/// Runs a connection until it ends or its lease does. A call that is sent wakes the task, which then
/// reads the lease again.
async fn run_connection(
    connection: Connection<TokioIo<FairStream<TcpStream>>, SegmentedBody>,
    lease: ConnectionLease,
) {
    let mut connection = pin!(connection);
    let mut timer = pin!(sleep_until(Instant::now()));
    let running = poll_fn(|context| {
        while let Some(end) = lease.end() {
            if end <= Instant::now() {
                return Poll::Ready(());
            }
            // A timer for an earlier call is left to expire.
            if end < timer.deadline() || timer.is_elapsed() {
                timer.as_mut().reset(end);
            }
            if timer.as_mut().poll(context).is_pending() {
                break;
            }
        }
        // An error of the connection is also returned to the call that uses it.
        connection.as_mut().poll(context).map(|_| ())
    });
    running.await;
}

impl TargetConnection {
    /// Address of the target.
    pub(crate) fn target(&self) -> SocketAddr {
        self.pool.target
    }

    /// Sends a call and waits for the head of its response. [`SendFailure::NotSent`] means that the
    /// target has closed the idle connection; the call may be sent on another.
    pub(crate) async fn send(
        mut self,
        mut request: Request<SegmentedBody>,
        deadline: Instant,
    ) -> Result<(Response<Incoming>, Self), SendFailure> {
        let interim_count = InterimCount::default();
        let recorded_count = interim_count.clone();
        on_informational(&mut request, move |_| recorded_count.record());
        let body_length = request.body().size_hint().lower();
        let sending = self.sender.try_send_request(request);
        let sending = async {
            tokio::select! {
                biased;
                () = interim_count.exceeded() => None,
                sent = sending => Some(sent),
            }
        };
        match timeout_at(deadline, sending).await {
            Ok(Some(Ok(response))) => {
                // A connection that brought another status is closed by the drop.
                let response = check_final(response)
                    .map_err(|error| SendFailure::BadResponse(self.pool.error(error)))?;
                self.may_be_unread = may_be_unread(response.status(), body_length);
                Ok((response, self))
            }
            Ok(None) => {
                let error = self.pool.error("too many interim responses");
                Err(SendFailure::BadResponse(error))
            }
            Ok(Some(Err(mut error))) => {
                let is_unsent = error.take_message().is_some();
                let error = self.pool.error(error.into_error());
                Err(if is_unsent {
                    SendFailure::NotSent(error)
                } else {
                    SendFailure::Broken(error)
                })
            }
            Err(_) => {
                // The cause of the timeout may affect the idle connections as well.
                self.pool.close_idle();
                let error = self.pool.error("deadline passed before the response");
                Err(SendFailure::TimedOut(error))
            }
        }
    }

    /// Returns the connection to the pool after a complete response.
    pub(crate) fn release(self) {
        self.release_with_timeout(MAX_IDLE_TIMEOUT);
    }

    /// Returns the connection to the pool after the call was refused on it.
    pub(crate) fn release_refused(mut self, idle_timeout: Duration, call_id: &str) {
        self.refused_calls.0.push(call_id.into());
        if self.refused_calls.0.len() < MAX_REFUSED_CALLS {
            self.release_with_timeout(idle_timeout);
        }
    }

    /// Returns the connection to the pool for `idle_timeout`, in which the target keeps it open,
    /// unless the call may be unread.
    pub(crate) fn release_with_timeout(self, idle_timeout: Duration) {
        if self.may_be_unread {
            return;
        }
        let mut idle = self
            .pool
            .idle
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if idle.len() < MAX_IDLE_CONNECTIONS && !self.sender.is_closed() {
            self.lease.set(None);
            idle.push(IdleConnection {
                sender: self.sender,
                lease: self.lease,
                idle_since: Instant::now(),
                expires_at: Instant::now() + idle_timeout.min(MAX_IDLE_TIMEOUT),
                refused_calls: self.refused_calls,
            });
        }
    }
}
