use {
    super::AnswerPattern,
    bytes::Bytes,
    hyper::body::{Body, Frame, SizeHint},
    std::{
        io::{Error, ErrorKind},
        pin::Pin,
        task::{Context, Poll},
    },
};

const CHUNK_BYTES: usize = 64 * 1024;

/// Body of a stand-in's answer.
#[derive(Debug)]
pub enum AnswerBody {
    /// A short text.
    Text(Bytes),
    /// A pattern, of which the transfer breaks off when the `cut_at` last bytes are left.
    Pattern {
        pattern: AnswerPattern,
        cut_at: Option<u64>,
    },
}

impl AnswerBody {
    #[must_use]
    pub fn text(text: impl Into<Bytes>) -> Self {
        Self::Text(text.into())
    }

    #[must_use]
    pub fn whole(pattern: AnswerPattern) -> Self {
        Self::Pattern {
            pattern,
            cut_at: None,
        }
    }

    /// Breaks off in the middle.
    #[must_use]
    pub fn cut(pattern: AnswerPattern) -> Self {
        let cut_at = Some(pattern.remaining() / 2);
        Self::Pattern { pattern, cut_at }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        let chunk = match self.get_mut() {
            Self::Text(text) => std::mem::take(text),
            Self::Pattern { pattern, cut_at } => {
                let floor = cut_at.unwrap_or_default();
                let allowed = pattern.remaining().saturating_sub(floor);
                if allowed == 0 && cut_at.is_some() {
                    let error = Error::new(ErrorKind::ConnectionAborted, "answer is cut");
                    return Poll::Ready(Some(Err(error)));
                }
                let limit = usize::try_from(allowed).unwrap_or(usize::MAX);
                pattern.take(limit.min(CHUNK_BYTES))
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
            Self::Pattern { pattern, .. } => pattern.remaining() == 0,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Text(text) => SizeHint::with_exact(text.len() as u64),
            Self::Pattern { pattern, .. } => SizeHint::with_exact(pattern.remaining()),
        }
    }
}
