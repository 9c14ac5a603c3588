use {
    std::{
        io,
        pin::Pin,
        task::{Context, Poll},
    },
    tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, ReadBuf, Take},
};

/// Bytes that a connection reads before other tasks run.
pub(super) const MAX_TURN_BYTES: usize = 16 * 1024;

/// Stream that returns `Pending` from time to time, even if there is always something to read.
///
/// The HTTP implementations read until there is nothing left, and a peer may send as fast as they
/// read. The budget of a Tokio task counts reads, whatever their length.
#[derive(Debug)]
pub(super) struct FairStream<S> {
    /// Limited to the rest of the turn.
    stream: Take<S>,
}

impl<S> FairStream<S> {
    pub(super) fn new(stream: S) -> Self
    where
        S: AsyncRead,
    {
        Self {
            stream: stream.take(MAX_TURN_BYTES as u64),
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for FairStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.stream.limit() == 0 {
            self.stream.set_limit(MAX_TURN_BYTES as u64);
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        if read.is_pending() {
            self.stream.set_limit(MAX_TURN_BYTES as u64);
        }
        read
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> AsyncWrite for FairStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(self.stream.get_mut()).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(self.stream.get_mut()).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.get_ref().is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(self.stream.get_mut()).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(self.stream.get_mut()).poll_shutdown(context)
    }
}
