use {
    super::{caller_input::CallerInput, listener::ListenerShutdown},
    hyper_util::server::graceful::GracefulConnection,
    std::{
        future::poll_fn,
        pin::{Pin, pin},
        task::Poll,
        time::Duration,
    },
    tokio::{
        net::tcp::OwnedReadHalf,
        time::{Instant, sleep, timeout},
    },
};

/// Time in which the first request of a new connection, or the rest of a request, must arrive once
/// the listener drains.
const LAST_REQUEST_TIME: Duration = Duration::from_millis(300);

/// Shortest time between two checks whether the connection is idle.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// How the service of a connection has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionEnd {
    /// The last response has been written, or the caller has closed the connection.
    Served,
    /// No request is in progress, and what still arrives must not be read.
    Idle,
}

/// A connection of a caller.
///
/// Before it is closed as idle, the server gets all that has arrived. The process may be late or
/// busy, so a request may have been in the socket for some time.
pub(super) struct CallerConnection<'a, C> {
    pub(super) connection: Pin<Box<C>>,
    pub(super) input: &'a CallerInput,
    pub(super) reader: &'a OwnedReadHalf,
}

impl<C: GracefulConnection> CallerConnection<'_, C> {
    /// Serves requests until the connection ends, is idle for the timeout, or drains.
    pub(super) async fn serve(
        mut self,
        idle_timeout: impl Fn() -> Duration,
        shutdown: &ListenerShutdown,
    ) -> ConnectionEnd {
        let mut previous = idle_timeout();
        let mut timer = pin!(sleep(previous));
        loop {
            tokio::select! {
                _ = self.connection.as_mut() => return ConnectionEnd::Served,
                () = shutdown.draining.cancelled() => return self.drain(shutdown).await,
                () = timer.as_mut() => {}
            }
            if self.serve_arrived().await {
                return ConnectionEnd::Served;
            }
            let newest = idle_timeout();
            // The caller may count on the timeout that was in force when it fell silent.
            let limit = newest.max(previous);
            previous = newest;
            let idle_time = self.input.idle_time();
            if idle_time.is_some_and(|time| time >= limit) {
                return ConnectionEnd::Idle;
            }
            let rest = limit.saturating_sub(idle_time.unwrap_or_default());
            let rest = rest.max(MIN_CHECK_INTERVAL);
            timer.as_mut().reset(Instant::now() + rest);
        }
    }

    /// Serves the request in progress or one that has arrived, and no other.
    async fn drain(&mut self, shutdown: &ListenerShutdown) -> ConnectionEnd {
        if self.serve_arrived().await {
            return ConnectionEnd::Served;
        }
        let waiting = poll_fn(|context| {
            if self.connection.as_mut().poll(context).is_ready() {
                Poll::Ready(ConnectionEnd::Served)
            } else if self.input.idle_time().is_some() && self.input.expects_request() {
                Poll::Pending
            } else {
                Poll::Ready(ConnectionEnd::Idle)
            }
        });
        let end = timeout(LAST_REQUEST_TIME, waiting).await;
        let has_ended = end == Ok(ConnectionEnd::Served);
        if has_ended || self.input.idle_time().is_some() {
            return end.unwrap_or(ConnectionEnd::Idle);
        }
        self.connection.as_mut().graceful_shutdown();
        tokio::select! {
            _ = self.connection.as_mut() => {}
            () = shutdown.closed.cancelled() => {}
        }
        ConnectionEnd::Served
    }

    /// Lets the server take what the socket holds; true if the connection has ended.
    async fn serve_arrived(&mut self) -> bool {
        self.input.read_arrived(self.reader);
        poll_fn(|context| Poll::Ready(self.connection.as_mut().poll(context).is_ready())).await
    }
}
