use {
    super::{PlatformAdapter, attempt_report::RelayBody, sidecar_state::SidecarState},
    crate::{
        error::{ProcessStep, StepError},
        net::{ResponseBody, SegmentedBody, SendFailure, read_request},
    },
    bytes::Bytes,
    http::{Request, Response, StatusCode},
    hyper::body::Incoming,
    serde::{Serialize, de::DeserializeOwned},
    std::{net::SocketAddr, time::Duration},
    tokio::time::{Instant, timeout},
};

/// A kind of question that sidecars ask each other.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MeshQuestion {
    pub(crate) step: ProcessStep,
    pub(crate) path: &'static str,
    /// Time allowed for the answer, and for the question to arrive.
    pub(crate) time_limit: Duration,
    /// Maximum sizes, in bytes.
    pub(crate) question_bytes: usize,
    pub(crate) answer_bytes: usize,
}

impl MeshQuestion {
    /// Asks another sidecar.
    pub(crate) async fn ask<P, Q, A>(
        &self,
        state: &SidecarState<P>,
        peer: SocketAddr,
        question: &Q,
    ) -> Result<A, StepError>
    where
        P: PlatformAdapter,
        Q: Serialize + Sync,
        A: DeserializeOwned,
    {
        let time_limit = self.time_limit;
        let failed = |reason: String| StepError::new(self.step, peer, reason);
        let exchange = async {
            let question = postcard::to_extend(question, Vec::new());
            let question = question.map_err(|error| failed(error.to_string()))?;
            let request = Request::post(format!("http://{peer}{}", self.path))
                .body(SegmentedBody::from(Bytes::from(question)))
                .map_err(|error| failed(error.to_string()))?;
            let deadline = Instant::now() + time_limit;
            let response = state.mesh_pool.send(peer, request, deadline).await;
            let response = response.map_err(SendFailure::into_error)?;
            if response.status() != StatusCode::OK {
                return Err(failed(format!("status {}", response.status())));
            }
            let body = read_request(response.into_body(), self.answer_bytes, time_limit).await;
            let body = body.map_err(|error| failed(error.to_string()))?;
            postcard::from_bytes(&body).map_err(|error| failed(error.to_string()))
        };
        timeout(time_limit, exchange)
            .await
            .unwrap_or_else(|_| Err(failed(format!("no answer within {time_limit:?}"))))
    }

    /// Reads a question of another sidecar and responds with what `answer` returns.
    pub(crate) async fn serve<P, Q, A, F>(
        &self,
        state: &SidecarState<P>,
        body: Incoming,
        answer: F,
    ) -> Response<RelayBody>
    where
        P: PlatformAdapter,
        Q: DeserializeOwned,
        A: Serialize,
        F: FnOnce(Q) -> A,
    {
        let respond = |status, body| {
            let mut response = Response::new(ResponseBody::buffered(body, None));
            *response.status_mut() = status;
            response
        };
        let body = match read_request(body, self.question_bytes, self.time_limit).await {
            Ok(body) => body,
            Err(error) => {
                slog::info!(state.log.logger, "question of a sidecar did not arrive";
                    "step" => %self.step, "error" => %error);
                return respond(StatusCode::BAD_REQUEST, Bytes::new());
            }
        };
        match postcard::from_bytes(&body) {
            Ok(question) => {
                // The answers consist of plain data that always encodes.
                let answer = postcard::to_extend(&answer(question), Vec::new());
                respond(StatusCode::OK, answer.unwrap_or_default().into())
            }
            Err(error) => {
                slog::warn!(state.log.logger, "malformed question of a sidecar";
                    "step" => %self.step, "error" => %error);
                respond(StatusCode::BAD_REQUEST, Bytes::new())
            }
        }
    }
}
