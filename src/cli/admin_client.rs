//! HTTP client of the daemons' consoles.

use {
    crate::error::{ProcessStep, StepError},
    bytes::Bytes,
    http::{Method, Request, StatusCode, header},
    http_body_util::{BodyExt, Full, Limited},
    hyper::client::conn::http1,
    hyper_util::rt::TokioIo,
    serde::{Serialize, de::DeserializeOwned},
    std::{net::SocketAddr, time::Duration},
    tokio::{net::TcpStream, time::timeout},
};

/// Time allowed for a connection to open.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);
/// Time allowed for a complete response. It is longer than a daemon takes to become ready or to
/// complete the commit of a policy.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);

/// Size limit of a response body in bytes.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// HTTP client of one daemon's console. Each request opens a new connection.
#[derive(Clone, Copy, Debug)]
pub(super) struct AdminClient(SocketAddr);

/// Status and complete body of a response.
#[derive(Clone, Debug)]
pub(super) struct AdminResponse {
    pub status: StatusCode,
    pub body: Bytes,
}

impl AdminClient {
    pub(super) const fn new(address: SocketAddr) -> Self {
        Self(address)
    }

    /// Requests `path` and returns the body of a 200 response.
    pub(super) async fn get(&self, path: &str) -> Result<Bytes, StepError> {
        let request = Request::builder().method(Method::GET).uri(path);
        let request = request.header(header::HOST, self.0.to_string());
        let request = request.body(Full::default());
        let request = request.map_err(|error| self.step_error(error))?;
        let response = self.send(request).await?;
        if response.status != StatusCode::OK {
            return Err(self.step_error(format!("status {} for {path}", response.status)));
        }
        Ok(response.body)
    }

    /// Requests `path` and parses the body as JSON.
    pub(super) async fn get_json<T: DeserializeOwned>(&self, path: &str) -> Result<T, StepError> {
        let body = self.get(path).await?;
        serde_json::from_slice(&body).map_err(|error| self.step_error(error))
    }

    /// Posts JSON and authenticates with the admin token.
    pub(super) async fn post(
        &self,
        path: &str,
        token: &str,
        body: &impl Serialize,
    ) -> Result<AdminResponse, StepError> {
        let body = serde_json::to_vec(body).map_err(|error| self.step_error(error))?;
        let request = Request::builder()
            .method(Method::POST)
            .uri(path)
            .header(header::HOST, self.0.to_string())
            .header(header::CONTENT_TYPE, "application/json")
            .header(header::AUTHORIZATION, format!("Bearer {token}"))
            .body(Full::from(body))
            .map_err(|error| self.step_error(error))?;
        self.send(request).await
    }

    async fn send(&self, request: Request<Full<Bytes>>) -> Result<AdminResponse, StepError> {
        let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.0)).await;
        let stream = connected
            .map_err(|_| self.step_error(format!("no connection within {CONNECT_TIMEOUT:?}")))?
            .map_err(|error| self.step_error(error))?;
        let exchange = self.exchange(stream, request);
        timeout(RESPONSE_TIMEOUT, exchange)
            .await
            .map_err(|_| self.step_error(format!("no response within {RESPONSE_TIMEOUT:?}")))?
    }

    async fn exchange(
        &self,
        stream: TcpStream,
        request: Request<Full<Bytes>>,
    ) -> Result<AdminResponse, StepError> {
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (mut sender, connection) = handshake.map_err(|error| self.step_error(error))?;
        tokio::spawn(connection);
        let response = sender.send_request(request).await;
        let (head, body) = response
            .map_err(|error| self.step_error(error))?
            .into_parts();
        let body = Limited::new(body, MAX_RESPONSE_BYTES).collect().await;
        let body = body.map_err(|error| self.step_error(error))?;
        Ok(AdminResponse {
            status: head.status,
            body: body.to_bytes(),
        })
    }

    fn step_error(&self, source: impl Into<Box<dyn std::error::Error + Send + Sync>>) -> StepError {
        StepError::new(ProcessStep::CallAdmin, self.0, source)
    }
}
