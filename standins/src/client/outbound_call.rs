use {
    super::CallPath,
    banyantrestle::context::{CONTEXT_HEADER, ServiceName},
    bytes::Bytes,
    http::{HeaderValue, Method, Request},
    http_body_util::Full,
    std::{net::SocketAddr, time::Duration},
};

/// Header that names the caller's request and its attempt, as `request.attempt`.
pub const ATTEMPT_HEADER: &str = "standin-attempt";
/// Header of the key under which a call runs at most once.
pub const KEY_HEADER: &str = "idempotency-key";

/// One call of a caller, or of a target to the next service.
#[derive(Clone, Debug)]
pub struct OutboundCall {
    pub service: ServiceName,
    pub method: Method,
    pub path: CallPath,
    pub attempt: String,
    pub key: Option<String>,
    /// Context of the call that this call belongs to.
    pub context: Option<HeaderValue>,
    pub body: Bytes,
    /// Time for the whole answer.
    pub timeout: Duration,
}

impl OutboundCall {
    /// A GET without key or context.
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

    /// A POST that must run at most once.
    #[must_use]
    pub fn keyed(self, key: &str) -> Self {
        Self {
            method: Method::POST,
            key: Some(key.into()),
            ..self
        }
    }

    /// What the answer names: the key, which repeats share, or the attempt.
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
