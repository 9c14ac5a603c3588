use {
    super::attempt_report::RelayBody,
    crate::net::ResponseError,
    bytes::Bytes,
    hyper::body::{Body, Frame, SizeHint},
    std::{
        pin::Pin,
        task::{Context, Poll},
    },
    tokio_util::task::task_tracker::TaskTrackerToken,
};

/// Body of a response to another sidecar. The call counts as taken until the server has taken all of
/// it.
#[derive(Debug)]
pub(crate) struct TakenBody {
    body: RelayBody,
    _taken: TaskTrackerToken,
}

impl TakenBody {
    pub(crate) fn new(body: RelayBody, taken: TaskTrackerToken) -> Self {
        Self {
            body,
            _taken: taken,
        }
    }
}

impl Body for TakenBody {
    type Data = Bytes;
    type Error = ResponseError;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseError>>> {
        Pin::new(&mut self.get_mut().body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
