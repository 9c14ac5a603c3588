use {
    super::CallPath,
    banyantrestle::context::{CONTEXT_HEADER, ServiceName},
    bytes::Bytes,
    http::{HeaderValue, Method, Request},
    http_body_util::Full,
    std::{net::SocketAddr, time::Duration},
};

/// Header with the ID of the caller's request and the number of its attempt, as `request.attempt`.
pub const ATTEMPT_HEADER: &str = "standin-attempt";
/// Header with the idempotency key, under which a call runs at most once.
pub const KEY_HEADER: &str = "idempotency-key";

/// A call from a caller, or from a target to the next service.
#[derive(Clone, Debug)]
pub struct OutboundCall {
    pub service: ServiceName,
    pub method: Method,
    pub path: CallPath,
    /// Value of [`ATTEMPT_HEADER`].
    pub attempt: String,
    /// Value of [`KEY_HEADER`].
    pub key: Option<String>,
    /// Context header of the inbound call that this call belongs to.
    pub context: Option<HeaderValue>,
    pub body: Bytes,
    /// Maximum time of one attempt, until the response is complete.
    pub timeout: Duration,
}

impl OutboundCall {
    /// Creates a GET without key or context.
    #[must_use]
    pub fn get(service: &ServiceName, path: CallPath, attempt: &str, timeout: Duration) -> Self {
        Self {
            service: service.clone(),
            method: Method::GET,
            path,
            attempt: attempt.into(),
            key: None,
            context: None,
            body: Bytes::new(),
            timeout,
        }
    }

    /// Turns the call into a POST that must run at most once.
    #[must_use]
    pub fn keyed(self, key: &str) -> Self {
        Self {
            method: Method::POST,
            key: Some(key.into()),
            ..self
        }
    }

    /// Identity that the response contains: the key, which retries share, or else the attempt.
    #[must_use]
    pub fn identity(&self) -> &str {
        self.key.as_deref().unwrap_or(&self.attempt)
    }

    pub(super) fn build_request(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<Request<Full<Bytes>>, http::Error> {
        let mut request = Request::builder()
            .method(&self.method)
            .uri(format!("http://{address}{path}"))
            .header(ATTEMPT_HEADER, &self.attempt);
        if let Some(key) = &self.key {
            request = request.header(KEY_HEADER, key);
        }
        if let Some(context) = &self.context {
            request = request.header(CONTEXT_HEADER, context);
        }
        request.body(Full::new(self.body.clone()))
    }
}
