use {
    super::WAIT_TIMEOUT,
    bytes::Bytes,
    http::{Request, StatusCode},
    http_body_util::{BodyExt, Full},
    hyper::body::Incoming,
    hyper_util::{client::legacy::Client, rt::TokioExecutor},
    standins::{
        client::{ATTEMPT_HEADER, CallPath},
        response::{ResponseCheck, ResponsePattern, ResponseVerifier},
    },
    std::net::SocketAddr,
    tokio::time::timeout,
};

/// A caller that reads the start of a long response, and the rest only in [`SlowReader::finish`].
pub struct SlowReader {
    body: Incoming,
    verifier: ResponseVerifier,
    pub read_bytes: usize,
}

impl SlowReader {
    /// Sends the call and reads the first bytes of the response.
    pub async fn open(ingress: SocketAddr, service: &str, bytes: u64, attempt: &str) -> Self {
        let path = CallPath::new("stream").with_response_bytes(bytes);
        let request = Request::get(format!("http://{ingress}/{service}{path}"))
            .header(ATTEMPT_HEADER, attempt)
            .body(Full::<Bytes>::default())
            .expect("a valid request");
        let client = Client::builder(TokioExecutor::new()).build_http();
        let response = timeout(WAIT_TIMEOUT, client.request(request)).await;
        let response = response.expect("a response in time").expect("a response");
        assert_eq!(response.status(), StatusCode::OK);
        let pattern = ResponsePattern::new(service, &path.to_string(), attempt, bytes);
        let mut reader = Self {
            body: response.into_body(),
            verifier: ResponseVerifier::new(pattern),
            read_bytes: 0,
        };
        assert!(reader.read_chunk().await.expect("a first chunk"));
        reader
    }

    /// Reads the rest of the response and returns whether the response was complete.
    pub async fn finish(mut self) -> Result<ResponseCheck, hyper::Error> {
        while self.read_chunk().await? {}
        Ok(self.verifier.check())
    }

    async fn read_chunk(&mut self) -> Result<bool, hyper::Error> {
        let frame = timeout(WAIT_TIMEOUT, self.body.frame()).await;
        let Some(frame) = frame.expect("a chunk in time") else {
            return Ok(false);
        };
        if let Ok(chunk) = frame?.into_data() {
            self.read_bytes += chunk.len();
            self.verifier.update(&chunk);
        }
        Ok(true)
    }
}
