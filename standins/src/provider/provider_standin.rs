use {
    super::{ProviderMode, ProviderRows},
    crate::{
        answer::AnswerBody,
        http::{HttpServer, HttpService},
    },
    http::{Request, Response, StatusCode},
    http_body_util::BodyExt,
    hyper::body::Incoming,
    serde_json::Value,
    std::{
        collections::HashMap,
        future::pending,
        io,
        net::SocketAddr,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{
        sync::watch,
        time::{Instant, timeout_at},
    },
};

const MAX_CONNECTIONS: usize = 1_000;

/// A running store.
#[derive(Debug)]
pub struct ProviderStandin {
    server: HttpServer,
    state: ProviderState,
}

#[derive(Clone, Debug)]
struct ProviderState {
    rows: Arc<Mutex<ProviderRows>>,
    changed: watch::Sender<u64>,
    mode: watch::Sender<ProviderMode>,
    calls: Arc<AtomicU64>,
}

impl ProviderStandin {
    /// # Errors
    /// The address cannot be bound.
    pub async fn start(address: SocketAddr) -> io::Result<Self> {
        let state = ProviderState {
            rows: Arc::default(),
            changed: watch::Sender::new(0),
            mode: watch::Sender::new(ProviderMode::Up),
            calls: Arc::default(),
        };
        let server = HttpServer::start(address, MAX_CONNECTIONS, state.clone()).await?;
        Ok(Self { server, state })
    }

    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    pub fn set_mode(&self, mode: ProviderMode) {
        self.state.mode.send_replace(mode);
    }

    /// Writes the configuration, as the operator does.
    pub fn put_configuration(&self, document: &Value) {
        let text = document.to_string();
        let version = {
            let mut rows = self.state.rows();
            rows.put("op", "config", text.as_bytes());
            rows.version()
        };
        self.state.changed.send_replace(version);
    }

    /// The keys of a table.
    #[must_use]
    pub fn keys(&self, table: &str) -> Vec<String> {
        self.state.rows().keys(table)
    }

    /// Calls since the start, refused ones included.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.state.calls.load(Ordering::Relaxed)
    }
}

impl ProviderState {
    fn rows(&self) -> MutexGuard<'_, ProviderRows> {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn feed(&self, query: &HashMap<String, String>) -> Value {
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        let after = text("after").parse().unwrap_or_default();
        let wait = Duration::from_millis(text("wait_ms").parse().unwrap_or_default());
        let mut changed = self.changed.subscribe();
        let end = Instant::now() + wait;
        // The wait ends without a change when its time is over.
        timeout_at(end, changed.wait_for(|version| *version > after))
            .await
            .ok();
        self.rows().read(&text("table"), "", after)
    }
}

impl HttpService for ProviderState {
    async fn answer(&self, request: Request<Incoming>) -> Response<AnswerBody> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        let mode = *self.mode.borrow();
        match mode {
            ProviderMode::Busy => return answer(StatusCode::SERVICE_UNAVAILABLE, &Value::Null),
            ProviderMode::Silent => return pending().await,
            _ => {}
        }
        let (head, body) = request.into_parts();
        let query = read_query(head.uri.query().unwrap_or_default());
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        match head.uri.path() {
            "/v1/rows-get" => {
                let rows = self.rows().read(&text("table"), &text("from"), 0);
                answer(StatusCode::OK, &rows)
            }
            "/v1/rows-feed" if mode == ProviderMode::HistoryLost => {
                answer(StatusCode::GONE, &Value::Null)
            }
            "/v1/rows-feed" => answer(StatusCode::OK, &self.feed(&query).await),
            "/v1/rows-tx" => {
                let body = body
                    .collect()
                    .await
                    .map(http_body_util::Collected::to_bytes);
                let body = serde_json::from_slice(&body.unwrap_or_default()).unwrap_or_default();
                let result = self.rows().transact(&body);
                if mode == ProviderMode::LostAnswers {
                    return pending().await;
                }
                match result {
                    Ok(value) => answer(StatusCode::OK, &value),
                    Err(value) => answer(StatusCode::PRECONDITION_FAILED, &value),
                }
            }
            _ => answer(StatusCode::NOT_FOUND, &Value::Null),
        }
    }
}

fn read_query(query: &str) -> HashMap<String, String> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .map(|(name, value)| (name.into(), value.into()))
        .collect()
}

fn answer(status: StatusCode, value: &Value) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::text(value.to_string()));
    *response.status_mut() = status;
    response
}
