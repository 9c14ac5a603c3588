use {
    super::{StoreMode, StoreRows},
    crate::{
        http::{HttpServer, HttpService},
        response::StandinBody,
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

/// A running store; dropping it closes its server.
#[derive(Debug)]
pub struct StoreStandin {
    server: HttpServer,
    state: StoreState,
}

#[derive(Clone, Debug)]
struct StoreState {
    rows: Arc<Mutex<StoreRows>>,
    latest_version: watch::Sender<u64>,
    mode: watch::Sender<StoreMode>,
    /// Epoch that the header `Store-Era` names.
    epoch: Arc<AtomicU64>,
    calls: Arc<AtomicU64>,
}

impl StoreStandin {
    /// Starts an empty store.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub async fn start(address: SocketAddr) -> io::Result<Self> {
        let state = StoreState {
            rows: Arc::default(),
            latest_version: watch::Sender::new(0),
            mode: watch::Sender::new(StoreMode::Up),
            epoch: Arc::new(AtomicU64::new(1)),
            calls: Arc::default(),
        };
        let server = HttpServer::start(address, MAX_CONNECTIONS, state.clone()).await?;
        Ok(Self { server, state })
    }

    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    pub fn set_mode(&self, mode: StoreMode) {
        self.state.mode.send_replace(mode);
    }

    /// Writes the configuration to the row that the operator writes.
    pub fn put_configuration(&self, document: &Value) {
        let text = document.to_string();
        let version = {
            let mut rows = self.state.rows();
            rows.put("op", "config", text.as_bytes());
            rows.version()
        };
        self.state.latest_version.send_replace(version);
    }

    /// Copies all rows, for [`Self::restore`].
    #[must_use]
    pub fn copy_rows(&self) -> StoreRows {
        self.state.rows().clone()
    }

    /// Replaces all rows by an older copy and starts the next epoch. Versions after the copy are
    /// assigned again.
    pub fn restore(&self, copy: StoreRows) {
        let version = copy.version();
        *self.state.rows() = copy;
        self.state.epoch.fetch_add(1, Ordering::Relaxed);
        self.state.latest_version.send_replace(version);
    }

    /// The keys of a table.
    #[must_use]
    pub fn keys(&self, table: &str) -> Vec<String> {
        self.state.rows().keys(table)
    }

    /// Number of calls since the start, including refused ones.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.state.calls.load(Ordering::Relaxed)
    }
}

impl StoreState {
    fn rows(&self) -> MutexGuard<'_, StoreRows> {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn read_feed(&self, query: &HashMap<String, String>, after: u64) -> Value {
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        let wait = Duration::from_millis(text("wait_ms").parse().unwrap_or_default());
        let mut latest_version = self.latest_version.subscribe();
        let deadline = Instant::now() + wait;
        // A wait that times out returns an empty feed, so the timeout is no error.
        timeout_at(
            deadline,
            latest_version.wait_for(|version| *version > after),
        )
        .await
        .ok();
        self.rows().read(&text("table"), "", after)
    }
}

impl HttpService for StoreState {
    async fn respond(&self, request: Request<Incoming>) -> Response<StandinBody> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        let mut response = self.respond_without_epoch(request).await;
        let epoch = self.epoch.load(Ordering::Relaxed);
        response.headers_mut().insert("store-era", epoch.into());
        response
    }
}

impl StoreState {
    async fn respond_without_epoch(&self, request: Request<Incoming>) -> Response<StandinBody> {
        let mode = *self.mode.borrow();
        match mode {
            StoreMode::Busy => return json_response(StatusCode::SERVICE_UNAVAILABLE, &Value::Null),
            StoreMode::Silent => return pending().await,
            _ => {}
        }
        let (head, body) = request.into_parts();
        let query = read_query(head.uri.query().unwrap_or_default());
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        match head.uri.path() {
            "/v1/rows-get" if mode.is_busy(&text("table")) => {
                json_response(StatusCode::SERVICE_UNAVAILABLE, &Value::Null)
            }
            "/v1/rows-get" => {
                let rows = self.rows().read(&text("table"), &text("from"), 0);
                json_response(StatusCode::OK, &rows)
            }
            "/v1/rows-feed" if mode == StoreMode::HistoryLost => {
                json_response(StatusCode::GONE, &Value::Null)
            }
            "/v1/rows-feed" => {
                let after: u64 = text("after").parse().unwrap_or_default();
                if after > self.rows().version() {
                    return json_response(StatusCode::GONE, &Value::Null);
                }
                let mut modes = self.mode.subscribe();
                tokio::select! {
                    rows = self.read_feed(&query, after) => json_response(StatusCode::OK, &rows),
                    _ = modes.wait_for(|mode| *mode == StoreMode::Busy) => {
                        json_response(StatusCode::SERVICE_UNAVAILABLE, &Value::Null)
                    }
                }
            }
            "/v1/rows-tx" => {
                let body = body
                    .collect()
                    .await
                    .map(http_body_util::Collected::to_bytes);
                let body = serde_json::from_slice(&body.unwrap_or_default()).unwrap_or_default();
                if writes_of(&body).any(|table| mode.is_busy(table)) {
                    return json_response(StatusCode::SERVICE_UNAVAILABLE, &Value::Null);
                }
                let result = self.rows().transact(&body);
                if mode == StoreMode::LostResponses {
                    return pending().await;
                }
                match result {
                    Ok(value) => json_response(StatusCode::OK, &value),
                    Err(value) => json_response(StatusCode::PRECONDITION_FAILED, &value),
                }
            }
            _ => json_response(StatusCode::NOT_FOUND, &Value::Null),
        }
    }
}

fn read_query(query: &str) -> HashMap<String, String> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .map(|(name, value)| (name.into(), value.into()))
        .collect()
}

/// Tables that a transaction writes to.
fn writes_of(body: &Value) -> impl Iterator<Item = &str> {
    let writes = body["puts"].as_array().into_iter().flatten();
    writes.filter_map(|row| row["table"].as_str())
}

fn json_response(status: StatusCode, value: &Value) -> Response<StandinBody> {
    let mut response = Response::new(StandinBody::text(value.to_string()));
    *response.status_mut() = status;
    response
}
