use {
    super::WAIT_TIMEOUT,
    bytes::Bytes,
    http::{Request, StatusCode},
    http_body_util::{BodyExt, Full},
    hyper::body::Incoming,
    hyper_util::{client::legacy::Client, rt::TokioExecutor},
    standins::{
        answer::{AnswerPattern, AnswerVerdict, AnswerVerifier},
        client::{ATTEMPT_HEADER, CallPath},
    },
    std::net::SocketAddr,
    tokio::time::timeout,
};

/// A caller that reads a long answer when the test says so.
pub struct SlowReader {
    body: Incoming,
    verifier: AnswerVerifier,
    pub read_bytes: usize,
}

impl SlowReader {
    /// Sends the call and reads the first bytes of its answer.
    pub async fn open(edge: SocketAddr, service: &str, bytes: u64, attempt: &str) -> Self {
        let path = CallPath::new("stream").with_bytes(bytes);
        let request = Request::get(format!("http://{edge}/{service}{path}"))
            .header(ATTEMPT_HEADER, attempt)
            .body(Full::<Bytes>::default())
            .expect("a valid request");
        let client = Client::builder(TokioExecutor::new()).build_http();
        let response = timeout(WAIT_TIMEOUT, client.request(request)).await;
        let response = response.expect("in time").expect("an answer");
        assert_eq!(response.status(), StatusCode::OK);
        let pattern = AnswerPattern::new(service, &path.to_string(), attempt, bytes);
        let mut reader = Self {
            body: response.into_body(),
            verifier: AnswerVerifier::new(pattern),
            read_bytes: 0,
        };
        assert!(reader.read_chunk().await.expect("a first chunk"));
        reader
    }

    /// Reads the rest; whether the answer was whole.
    pub async fn finish(mut self) -> Result<AnswerVerdict, hyper::Error> {
        while self.read_chunk().await? {}
        Ok(self.verifier.verdict())
    }

    async fn read_chunk(&mut self) -> Result<bool, hyper::Error> {
        let frame = timeout(WAIT_TIMEOUT, self.body.frame()).await;
        let Some(frame) = frame.expect("a chunk in time") else {
            return Ok(false);
        };
        if let Ok(chunk) = frame?.into_data() {
            self.read_bytes += chunk.len();
            self.verifier.feed(&chunk);
        }
        Ok(true)
    }
}
