use {
    crate::time::{BootClock, TimePoint},
    bytes::{Buf, Bytes},
    socket2::{SockRef, Socket},
    std::{
        collections::VecDeque,
        io::{self, Read},
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        task::{Context, Poll, Waker},
        time::Duration,
    },
    tokio::{io::ReadBuf, net::tcp::OwnedReadHalf, sync::Notify, task::yield_now},
};

/// Bytes that one read takes from the socket.
const CHUNK_BYTES: usize = 4 * 1024;
/// Bytes that are read ahead of the server; the socket is not read while there are more.
const MAX_READ_AHEAD_BYTES: usize = 32 * 1024;

/// Bytes that a caller has sent and the HTTP server has not read yet.
///
/// The HTTP/1.1 server reads a pipelined request only once the previous one has been answered, and
/// until then doesn't see that the caller has disconnected. The input is read independently of the
/// server, so that the arrival time of each request and the end of the connection are known at
/// once.
#[derive(Debug)]
pub(crate) struct CallerInput {
    clock: BootClock,
    state: Mutex<InputState>,
    /// Notified when there is room for more bytes and when a request starts.
    progress: Notify,
}

#[derive(Debug, Default)]
struct InputState {
    chunks: VecDeque<ArrivedChunk>,
    buffered_bytes: usize,
    /// Arrival of the newest bytes that the server has read.
    read_arrival: TimePoint,
    /// Whether the caller has closed the connection or it has failed.
    is_closed: bool,
    requests_in_flight: usize,
    /// Requests in flight, and those whose response is not complete.
    open_requests: usize,
    has_had_request: bool,
    /// Whether the socket takes no more bytes of a response for now.
    is_write_blocked: bool,
    /// Time from which nothing has been in progress.
    idle_since: TimePoint,
    /// Arrival of the first bytes that the server has read of a request that is not complete.
    head_arrival: Option<TimePoint>,
    server_waker: Option<Waker>,
}

#[derive(Debug)]
struct ArrivedChunk {
    arrived_at: TimePoint,
    data: Bytes,
}

/// Arrival of a request; the request is in flight until this is dropped.
#[derive(Debug)]
pub(crate) struct RequestArrival {
    pub(crate) arrived_at: TimePoint,
    input: Arc<CallerInput>,
}

/// Tells whether the caller of a connection has left. The connection is not idle while this exists.
#[derive(Debug)]
pub(crate) struct CallerPresence(Arc<CallerInput>);

impl CallerPresence {
    /// Whether the caller has closed the connection, or its end of it.
    pub(crate) fn has_left(&self) -> bool {
        self.0.state().is_closed
    }
}

impl RequestArrival {
    pub(crate) fn caller(&self) -> CallerPresence {
        self.input.state().open_requests += 1;
        CallerPresence(self.input.clone())
    }
}

impl CallerInput {
    pub(super) fn new(clock: BootClock) -> Self {
        Self {
            clock,
            state: Mutex::new(InputState {
                idle_since: clock.now(),
                ..InputState::default()
            }),
            progress: Notify::new(),
        }
    }

    /// Marks the request that the server has read last as in flight.
    pub(crate) fn start_request(self: &Arc<Self>) -> RequestArrival {
        let mut state = self.state();
        state.requests_in_flight += 1;
        state.open_requests += 1;
        state.has_had_request = true;
        state.head_arrival = None;
        let arrived_at = state.read_arrival;
        drop(state);
        self.progress.notify_one();
        RequestArrival {
            arrived_at,
            input: self.clone(),
        }
    }

    /// Reads from the socket until the caller has left while a request was in flight.
    pub(crate) async fn read_until_abandoned(&self, reader: &OwnedReadHalf) {
        loop {
            while self.state().buffered_bytes >= MAX_READ_AHEAD_BYTES {
                self.progress.notified().await;
            }
            if reader.readable().await.is_err() {
                break;
            }
            match read_chunk(reader) {
                Ok(data) if data.is_empty() => break,
                Ok(data) => self.push(data),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => break,
            }
        }
        self.close();
        while self.state().requests_in_flight == 0 {
            self.progress.notified().await;
        }
    }

    /// Reads what the socket holds, including bytes that the runtime has not reported yet.
    pub(super) fn read_arrived(&self, reader: &OwnedReadHalf) {
        let socket = SockRef::from(reader.as_ref());
        let mut socket: &Socket = &socket;
        let mut buffer = [0; CHUNK_BYTES];
        while self.state().buffered_bytes < MAX_READ_AHEAD_BYTES {
            // The end of the connection is reported to the runtime too.
            let Ok(length @ 1..) = socket.read(&mut buffer) else {
                return;
            };
            self.push(Bytes::copy_from_slice(&buffer[..length]));
        }
    }

    /// Time for which no request has been in progress; `None` while one is.
    pub(super) fn idle_time(&self) -> Option<Duration> {
        let state = self.state();
        let is_idle =
            state.open_requests == 0 && !state.is_write_blocked && state.chunks.is_empty();
        let since = state.head_arrival.unwrap_or(state.idle_since);
        is_idle.then(|| self.clock.now().since(since.max(state.idle_since)))
    }

    /// Whether a part of a request has arrived, or the caller has not sent its first one yet.
    pub(super) fn expects_request(&self) -> bool {
        let state = self.state();
        state.head_arrival.is_some() || !state.has_had_request
    }

    /// Records whether the socket has taken bytes of a response.
    pub(super) fn record_write(&self, is_blocked: bool) {
        let mut state = self.state();
        state.is_write_blocked = is_blocked;
        state.idle_since = self.clock.now();
    }

    /// Reads and drops what the caller still sends, until it closes the connection.
    ///
    /// A socket that is closed with unread bytes is reset, and the reset may destroy the last
    /// response before the caller has read it.
    pub(crate) async fn discard_rest(&self, reader: &OwnedReadHalf) {
        while !self.state().is_closed && reader.readable().await.is_ok() {
            match read_chunk(reader) {
                // A caller may send as fast as it is read.
                Ok(data) if !data.is_empty() => yield_now().await,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                _ => return,
            }
        }
    }

    /// Copies bytes that have arrived; an empty result means that the caller has closed the
    /// connection.
    pub(super) fn poll_read(
        &self,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let mut state = self.state();
        if !state.read(buffer) {
            state.server_waker = Some(context.waker().clone());
            return Poll::Pending;
        }
        drop(state);
        self.progress.notify_one();
        Poll::Ready(Ok(()))
    }

    fn push(&self, data: Bytes) {
        let arrived_at = self.clock.now();
        let mut state = self.state();
        state.buffered_bytes += data.len();
        state.chunks.push_back(ArrivedChunk { arrived_at, data });
        state.wake_server();
    }

    fn close(&self) {
        let mut state = self.state();
        state.is_closed = true;
        state.wake_server();
    }

    fn close_request(&self) {
        let mut state = self.state();
        state.open_requests -= 1;
        if state.open_requests == 0 {
            state.idle_since = self.clock.now();
        }
    }

    fn state(&self) -> MutexGuard<'_, InputState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl InputState {
    fn wake_server(&mut self) {
        if let Some(waker) = self.server_waker.take() {
            waker.wake();
        }
    }

    /// Copies bytes of the oldest chunk; false if there are none yet.
    fn read(&mut self, buffer: &mut ReadBuf<'_>) -> bool {
        let Some(chunk) = self.chunks.front_mut() else {
            return self.is_closed;
        };
        let length = chunk.data.len().min(buffer.remaining());
        buffer.put_slice(&chunk.data[..length]);
        chunk.data.advance(length);
        self.read_arrival = chunk.arrived_at;
        if self.requests_in_flight == 0 {
            self.head_arrival.get_or_insert(chunk.arrived_at);
        }
        self.buffered_bytes -= length;
        if chunk.data.is_empty() {
            self.chunks.pop_front();
        }
        true
    }
}

impl Drop for RequestArrival {
    fn drop(&mut self) {
        self.input.state().requests_in_flight -= 1;
        self.input.close_request();
    }
}

impl Drop for CallerPresence {
    fn drop(&mut self) {
        self.0.close_request();
    }
}

/// Reads what the socket holds; the buffer is not part of a future, so that idle connections don't
/// hold it.
fn read_chunk(reader: &OwnedReadHalf) -> io::Result<Bytes> {
    let mut buffer = [0; CHUNK_BYTES];
    let length = reader.try_read(&mut buffer)?;
    Ok(Bytes::copy_from_slice(&buffer[..length]))
}
