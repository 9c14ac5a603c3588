use {
    super::ResponsePattern,
    bytes::Bytes,
    hyper::body::{Body, Frame, SizeHint},
    std::{
        io::{Error, ErrorKind},
        pin::Pin,
        task::{Context, Poll},
    },
};

const MAX_CHUNK_BYTES: usize = 64 * 1024;

/// Body of a stand-in's response.
#[derive(Debug)]
pub enum StandinBody {
    /// A short text.
    Text(Bytes),
    /// The pattern that the caller verifies.
    Pattern {
        pattern: ResponsePattern,
        /// Bytes left at the end when the transfer fails; `None` if it completes.
        unsent_bytes: Option<u64>,
    },
}

impl StandinBody {
    #[must_use]
    pub fn text(text: impl Into<Bytes>) -> Self {
        Self::Text(text.into())
    }

    #[must_use]
    pub fn complete(pattern: ResponsePattern) -> Self {
        Self::Pattern {
            pattern,
            unsent_bytes: None,
        }
    }

    /// Creates a body whose transfer fails after half of the pattern.
    #[must_use]
    pub fn closed_midway(pattern: ResponsePattern) -> Self {
        let unsent_bytes = Some(pattern.remaining_bytes() / 2);
        Self::Pattern {
            pattern,
            unsent_bytes,
        }
    }
}

impl Body for StandinBody {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        let chunk = match self.get_mut() {
            Self::Text(text) => std::mem::take(text),
            Self::Pattern {
                pattern,
                unsent_bytes,
            } => {
                let unsent = unsent_bytes.unwrap_or_default();
                let sendable = pattern.remaining_bytes().saturating_sub(unsent);
                if sendable == 0 && unsent_bytes.is_some() {
                    let error = Error::new(
                        ErrorKind::ConnectionAborted,
                        "the stand-in closes the response midway",
                    );
                    return Poll::Ready(Some(Err(error)));
                }
                let limit = usize::try_from(sendable).unwrap_or(usize::MAX);
                pattern.next_chunk(limit.min(MAX_CHUNK_BYTES))
            }
        };
        if chunk.is_empty() {
            return Poll::Ready(None);
        }
        Poll::Ready(Some(Ok(Frame::data(chunk))))
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Text(text) => text.is_empty(),
            Self::Pattern { pattern, .. } => pattern.remaining_bytes() == 0,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Text(text) => SizeHint::with_exact(text.len() as u64),
            Self::Pattern { pattern, .. } => SizeHint::with_exact(pattern.remaining_bytes()),
        }
    }
}
