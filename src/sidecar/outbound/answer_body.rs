use {
    super::{
        super::{PlatformAdapter, attempt_report::RelayBody},
        owed_answer::OwedAnswer,
    },
    crate::net::ResponseError,
    bytes::Bytes,
    hyper::body::{Body, Frame, SizeHint},
    std::{
        pin::Pin,
        task::{Context, Poll},
    },
};

/// Body of a response to a caller. The response is owed until the server has taken all of it.
#[derive(Debug)]
pub(crate) struct AnswerBody<P: PlatformAdapter> {
    body: RelayBody,
    answer: OwedAnswer<P>,
}

impl<P: PlatformAdapter> AnswerBody<P> {
    pub(crate) fn new(body: RelayBody, answer: OwedAnswer<P>) -> Self {
        let answer_body = Self { body, answer };
        answer_body.check_end();
        answer_body
    }

    fn check_end(&self) {
        if self.body.is_end_stream() {
            self.answer.finish();
        }
    }
}

impl<P: PlatformAdapter> Body for AnswerBody<P> {
    type Data = Bytes;
    type Error = ResponseError;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseError>>> {
        let this = self.get_mut();
        let polled = Pin::new(&mut this.body).poll_frame(context);
        match &polled {
            Poll::Ready(None) => this.answer.finish(),
            Poll::Ready(Some(Err(error))) => this.answer.break_off(error.into()),
            _ => this.check_end(),
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
