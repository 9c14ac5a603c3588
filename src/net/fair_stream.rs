use {
    std::{
        io,
        pin::Pin,
        task::{Context, Poll, ready},
    },
    tokio::io::{AsyncRead, AsyncWrite, ReadBuf},
};

/// Bytes that a connection reads before other tasks run.
pub(super) const MAX_TURN_BYTES: usize = 64 * 1024;

/// Stream that returns `Pending` from time to time, even if there is always something to read.
///
/// The HTTP implementations read until there is nothing left, and a peer may send as fast as they
/// read. The budget of a Tokio task counts reads, whatever their length.
#[derive(Debug)]
pub(super) struct FairStream<S> {
    stream: S,
    /// Bytes read since a read was pending.
    turn_bytes: usize,
}

impl<S> FairStream<S> {
    pub(super) const fn new(stream: S) -> Self {
        Self {
            stream,
            turn_bytes: 0,
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for FairStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.turn_bytes >= MAX_TURN_BYTES {
            self.turn_bytes = 0;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let earlier_bytes = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        if read.is_pending() {
            self.turn_bytes = 0;
        }
        let result = ready!(read);
        self.turn_bytes += buffer.filled().len() - earlier_bytes;
        Poll::Ready(result)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for FairStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
