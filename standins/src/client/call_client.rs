use {
    super::{CallResult, CallRouter, OutboundCall},
    crate::response::{ResponseCheck, ResponsePattern, ResponseVerifier},
    anyhow::Context,
    banyantrestle::context::OUTCOME_HEADER,
    bytes::Bytes,
    http::{Response, header::RETRY_AFTER},
    http_body_util::{BodyExt, Full},
    hyper::body::Incoming,
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::{TokioExecutor, TokioTimer},
    },
    serde::Deserialize,
    std::time::Duration,
    tokio::time::timeout,
};

/// Maximum number of refused connections that one attempt retries at the next address.
const MAX_REFUSED_CONNECTIONS: u32 = 4;
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Sends calls over pooled connections and verifies their responses.
#[derive(Clone, Debug)]
pub struct CallClient {
    http: Client<HttpConnector, Full<Bytes>>,
    router: CallRouter,
}

impl CallClient {
    /// Creates a client that uses HTTP/1.1.
    #[must_use]
    pub fn new(router: CallRouter) -> Self {
        Self::build(router, false)
    }

    /// Creates a client that uses h2.
    #[must_use]
    pub fn h2(router: CallRouter) -> Self {
        Self::build(router, true)
    }

    fn build(router: CallRouter, is_h2: bool) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let http = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .http2_only(is_h2)
            .build(connector);
        Self { http, router }
    }

    /// Sends a call until an attempt succeeds or the router's number of attempts is reached.
    pub async fn call(&self, call: &OutboundCall) -> CallResult {
        let mut result = self.send_attempt(call).await;
        for _ in 1..self.router.max_attempts() {
            if result.is_complete() {
                break;
            }
            result = self.send_attempt(call).await;
        }
        result
    }

    async fn send_attempt(&self, call: &OutboundCall) -> CallResult {
        match timeout(call.timeout, self.exchange(call)).await {
            Ok(Ok(result)) => result,
            Ok(Err(error)) => CallResult::Failed(format!("{error:#}")),
            Err(_) => CallResult::TimedOut,
        }
    }

    async fn exchange(&self, call: &OutboundCall) -> anyhow::Result<CallResult> {
        let response = self.connect_and_send(call).await?;
        if !response.status().is_success() {
            return read_refusal(response).await;
        }
        let check = verify_response(call, response.into_body()).await?;
        Ok(match check {
            ResponseCheck::Complete => CallResult::Complete,
            check => CallResult::WrongResponse(check),
        })
    }
}

impl CallClient {
    /// Sends the request to the first of the router's next addresses that accepts a connection.
    async fn connect_and_send(&self, call: &OutboundCall) -> anyhow::Result<Response<Incoming>> {
        let path = call.path.to_string();
        let mut refused = 0;
        loop {
            let route = self.router.route(&call.service, &path);
            let (address, path) =
                route.with_context(|| format!("no address is known for {}", call.service))?;
            let request = call.build_request(address, &path)?;
            match self.http.request(request).await {
                Err(error) if error.is_connect() && refused < MAX_REFUSED_CONNECTIONS => {
                    refused += 1;
                }
                result => return Ok(result?),
            }
        }
    }
}

async fn verify_response(
    call: &OutboundCall,
    mut body: Incoming,
) -> Result<ResponseCheck, hyper::Error> {
    let path = call.path.to_string();
    let service = call.service.as_str();
    let pattern = ResponsePattern::new(service, &path, call.identity(), call.path.response_bytes);
    let mut verifier = ResponseVerifier::new(pattern);
    while let Some(frame) = body.frame().await {
        if let Ok(chunk) = frame?.into_data() {
            verifier.update(&chunk);
        }
    }
    Ok(verifier.check())
}

async fn read_refusal(response: Response<Incoming>) -> anyhow::Result<CallResult> {
    let (head, body) = response.into_parts();
    let body = body.collect().await?.to_bytes();
    let header = |name: &str| head.headers.get(name)?.to_str().ok();
    let outcome = header(OUTCOME_HEADER).and_then(|text| text.parse().ok());
    let seconds = header(RETRY_AFTER.as_str()).and_then(|text| text.parse().ok());
    let problem: ProblemDetails = serde_json::from_slice(&body).unwrap_or_default();
    Ok(CallResult::Refused {
        status: head.status,
        outcome,
        retry_after: seconds.map(Duration::from_secs),
        detail: problem.detail,
    })
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct ProblemDetails {
    detail: String,
}
