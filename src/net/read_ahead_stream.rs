use {
    super::caller_input::CallerInput,
    std::{
        io,
        pin::Pin,
        sync::Arc,
        task::{Context, Poll},
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::tcp::OwnedWriteHalf,
    },
};

/// Connection as the HTTP server sees it: reads come from a [`CallerInput`].
#[derive(Debug)]
pub(crate) struct ReadAheadStream {
    input: Arc<CallerInput>,
    writer: OwnedWriteHalf,
}

impl ReadAheadStream {
    pub(crate) fn new(input: Arc<CallerInput>, writer: OwnedWriteHalf) -> Self {
        Self { input, writer }
    }
}

impl AsyncRead for ReadAheadStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.input.poll_read(context, buffer)
    }
}

impl AsyncWrite for ReadAheadStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.writer).poll_write(context, bytes);
        self.input.record_write(written.is_pending());
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.writer).poll_write_vectored(context, slices);
        self.input.record_write(written.is_pending());
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.writer.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.writer).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.writer).poll_shutdown(context)
    }
}
