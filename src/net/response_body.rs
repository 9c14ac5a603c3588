use {
    super::body_budget::BodyReservation,
    bytes::Bytes,
    futures_util::future::FutureExt,
    http::HeaderMap,
    hyper::body::{Body, Frame, Incoming, SizeHint},
    std::{
        collections::VecDeque,
        pin::Pin,
        task::{Context, Poll},
    },
    thiserror::Error,
    tokio::time::{Instant, Sleep, sleep_until},
};

/// Bytes of a buffered body that the server takes at once. It takes more only when the connection
/// does.
const MAX_FRAME_BYTES: usize = 16 * 1024;

/// Outcome of a streamed response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StreamOutcome {
    Complete,
    /// The connection failed before the end of the response.
    Broken,
    /// The receiver disconnected or the deadline passed.
    Abandoned,
}

/// Receives the outcome of a streamed response, whose body owns it until then.
pub(crate) trait StreamObserver: Send + Unpin + 'static {
    fn on_end(self, outcome: StreamOutcome);
}

/// Observer that ignores the outcome of a response.
#[derive(Debug)]
pub(crate) struct NoObserver;

impl StreamObserver for NoObserver {
    fn on_end(self, _: StreamOutcome) {}
}

/// Error that aborts a response.
#[derive(Debug, Error)]
pub(crate) enum ResponseError {
    #[error("response ended early: {0}")]
    Broken(#[from] hyper::Error),
    #[error("deadline passed before the response was complete")]
    DeadlinePassed,
}

/// Body of a response that is forwarded to the caller.
#[derive(Debug)]
pub(crate) enum ResponseBody<O: StreamObserver> {
    Buffered(BufferedBody),
    Streamed(Box<StreamedBody<O>>),
}

/// A body that was read completely.
#[derive(Debug, Default)]
pub(crate) struct BufferedBody {
    data: Option<Bytes>,
    trailers: Option<HeaderMap>,
}

/// A body that is forwarded as it arrives.
#[derive(Debug)]
pub(crate) struct StreamedBody<O: StreamObserver> {
    prefix: VecDeque<Bytes>,
    rest: Incoming,
    deadline: Pin<Box<Sleep>>,
    observer: Option<O>,
    /// Memory of the buffers between the sender and the receiver.
    buffers: Option<BodyReservation>,
}

impl<O: StreamObserver> ResponseBody<O> {
    pub(crate) fn buffered(data: Bytes, trailers: Option<HeaderMap>) -> Self {
        let data = Some(data).filter(|data| !data.is_empty());
        Self::Buffered(BufferedBody { data, trailers })
    }

    /// Data of a buffered body; `None` for a streamed one.
    pub(crate) fn buffered_data(&self) -> Option<Bytes> {
        match self {
            Self::Buffered(body) => Some(body.data.clone().unwrap_or_default()),
            Self::Streamed(_) => None,
        }
    }

    pub(crate) fn streamed(
        prefix: VecDeque<Bytes>,
        rest: Incoming,
        deadline: Instant,
        observer: O,
    ) -> Self {
        Self::Streamed(Box::new(StreamedBody {
            prefix,
            rest,
            deadline: Box::pin(sleep_until(deadline)),
            observer: Some(observer),
            buffers: None,
        }))
    }

    /// Keeps the reservation for as long as the response is streamed.
    pub(crate) fn hold_buffers(&mut self, reservation: BodyReservation) {
        if let Self::Streamed(body) = self {
            body.buffers = Some(reservation);
        }
    }
}

impl BufferedBody {
    fn next_frame(&mut self) -> Option<Frame<Bytes>> {
        if let Some(mut data) = self.data.take() {
            if data.len() > MAX_FRAME_BYTES {
                self.data = Some(data.split_off(MAX_FRAME_BYTES));
            }
            return Some(Frame::data(data));
        }
        self.trailers.take().map(Frame::trailers)
    }

    fn len(&self) -> u64 {
        self.data.as_ref().map_or(0, |data| data.len() as u64)
    }
}

impl<O: StreamObserver> StreamedBody<O> {
    fn poll_frame(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseError>>> {
        if let Some(data) = self.prefix.pop_front() {
            return Poll::Ready(Some(Ok(Frame::data(data))));
        }
        if self.deadline.poll_unpin(context).is_ready() {
            self.end(StreamOutcome::Abandoned);
            return Poll::Ready(Some(Err(ResponseError::DeadlinePassed)));
        }
        match Pin::new(&mut self.rest).poll_frame(context) {
            Poll::Ready(Some(Ok(frame))) => Poll::Ready(Some(Ok(frame))),
            Poll::Ready(Some(Err(error))) => {
                self.end(StreamOutcome::Broken);
                Poll::Ready(Some(Err(error.into())))
            }
            Poll::Ready(None) => {
                self.end(StreamOutcome::Complete);
                Poll::Ready(None)
            }
            Poll::Pending => Poll::Pending,
        }
    }

    fn end(&mut self, outcome: StreamOutcome) {
        if let Some(observer) = self.observer.take() {
            observer.on_end(outcome);
        }
    }

    fn size_hint(&self) -> SizeHint {
        let buffered: u64 = self.prefix.iter().map(|data| data.len() as u64).sum();
        let rest = self.rest.size_hint();
        let mut hint = SizeHint::new();
        if let Some(upper) = rest.upper() {
            hint.set_upper(buffered + upper);
        }
        hint.set_lower(buffered + rest.lower());
        hint
    }
}

impl<O: StreamObserver> Drop for StreamedBody<O> {
    fn drop(&mut self) {
        self.end(StreamOutcome::Abandoned);
    }
}

impl<O: StreamObserver> Body for ResponseBody<O> {
    type Data = Bytes;
    type Error = ResponseError;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseError>>> {
        match self.get_mut() {
            Self::Buffered(body) => Poll::Ready(body.next_frame().map(Ok)),
            Self::Streamed(body) => body.poll_frame(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(body) => body.data.is_none() && body.trailers.is_none(),
            Self::Streamed(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(body) => SizeHint::with_exact(body.len()),
            Self::Streamed(body) => body.size_hint(),
        }
    }
}
