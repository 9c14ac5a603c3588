use {
    bytes::Bytes,
    hyper::body::{Body, Frame, SizeHint},
    std::{
        convert::Infallible,
        pin::Pin,
        sync::Arc,
        task::{Context, Poll},
    },
};

/// A complete request body in one or more segments, which clones share.
#[derive(Clone, Debug, Default)]
pub(crate) struct SegmentedBody {
    segments: Arc<[Bytes]>,
    /// Number of segments that have been sent.
    sent: usize,
}

impl SegmentedBody {
    /// The whole body, whether a part of it has been sent or not.
    pub(crate) fn segments(&self) -> &[Bytes] {
        &self.segments
    }
}

impl From<Bytes> for SegmentedBody {
    fn from(data: Bytes) -> Self {
        if data.is_empty() {
            Self::default()
        } else {
            vec![data].into()
        }
    }
}

impl From<Vec<Bytes>> for SegmentedBody {
    fn from(segments: Vec<Bytes>) -> Self {
        Self {
            segments: segments.into(),
            sent: 0,
        }
    }
}

impl Body for SegmentedBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let next = self.segments.get(self.sent).cloned();
        self.sent += usize::from(next.is_some());
        Poll::Ready(next.map(|segment| Ok(Frame::data(segment))))
    }

    fn is_end_stream(&self) -> bool {
        self.sent == self.segments.len()
    }

    fn size_hint(&self) -> SizeHint {
        let unsent = self.segments.iter().skip(self.sent);
        SizeHint::with_exact(unsent.map(|segment| segment.len() as u64).sum())
    }
}
