use {
    anyhow::bail,
    bytes::Bytes,
    http::{Method, Request, StatusCode},
    http_body_util::{BodyExt, Full},
    hyper_util::{client::legacy::Client, rt::TokioExecutor},
    std::{net::SocketAddr, time::Duration},
    tokio::time::timeout,
};

const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);

/// A response with a short text as its body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TextResponse {
    pub status: StatusCode,
    pub text: String,
}

/// A request that is sent over a new connection.
#[derive(Clone, Debug)]
pub struct TextRequest {
    pub method: Method,
    pub path: String,
    pub headers: Vec<(&'static str, String)>,
    pub body: String,
}

impl TextRequest {
    #[must_use]
    pub fn get(path: &str) -> Self {
        Self {
            method: Method::GET,
            path: path.into(),
            headers: Vec::new(),
            body: String::new(),
        }
    }

    /// Sends the request and reads the response.
    ///
    /// # Errors
    /// The request is invalid, the connection fails, or no complete response arrives in time.
    pub async fn send(&self, address: SocketAddr) -> anyhow::Result<TextResponse> {
        let client = Client::builder(TokioExecutor::new()).build_http();
        let mut request = Request::builder()
            .method(&self.method)
            .uri(format!("http://{address}{}", self.path));
        for (name, value) in &self.headers {
            request = request.header(*name, value);
        }
        let request = request.body(Full::new(Bytes::from(self.body.clone())))?;
        let exchange = async {
            let response = client.request(request).await?;
            let status = response.status();
            let body = response.into_body().collect().await?.to_bytes();
            anyhow::Ok(TextResponse {
                status,
                text: String::from_utf8_lossy(&body).into_owned(),
            })
        };
        match timeout(RESPONSE_TIMEOUT, exchange).await {
            Ok(response) => response,
            Err(_) => bail!("no complete response from {address} within {RESPONSE_TIMEOUT:?}"),
        }
    }
}
