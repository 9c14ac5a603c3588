use {
    super::{
        TableError, TableRow, TableStore, TableWrite, WriteResult,
        connection_pool::{ConnectionPool, TableConnection},
        wire::{
            MAX_BODY_BYTES, READ_PATH, ReadAnswer, ReadRequest, SCAN_PATH, ScanAnswer, ScanRequest,
            TRANSACT_PATH, TransactAnswer, TransactRequest,
        },
    },
    crate::settings::PlatformSettings,
    bytes::Bytes,
    http::{
        Method, Request, Response, StatusCode,
        header::{CONTENT_TYPE, HOST},
    },
    http_body_util::{BodyExt, Full, Limited},
    hyper::body::Incoming,
    serde::{Serialize, de::DeserializeOwned},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::time::{Instant, timeout_at},
};

/// Table service over HTTP/1.1 with JSON bodies.
#[derive(Clone, Debug)]
pub struct HttpTable {
    address: SocketAddr,
    timeout: Duration,
    pool: Arc<ConnectionPool>,
}

impl HttpTable {
    /// `timeout` bounds each request, connecting included.
    #[must_use]
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self {
            address,
            timeout,
            pool: Arc::new(ConnectionPool::new(address)),
        }
    }

    #[must_use]
    pub fn from_settings(settings: &PlatformSettings) -> Self {
        let timeout = Duration::from_millis(settings.timeout_ms);
        Self::new(settings.address, timeout)
    }

    async fn post<Q, A>(&self, path: &str, message: &Q) -> Result<A, TableError>
    where
        Q: Serialize + Sync,
        A: DeserializeOwned,
    {
        let request = self.request(path, message)?;
        let start = Instant::now();
        let deadline = start + self.timeout;
        let connection = timeout_at(deadline, self.pool.take())
            .await
            .map_err(|_| self.refused_late())??;
        let exchange = self.exchange(connection, request);
        let Ok(outcome) = timeout_at(deadline, exchange).await else {
            self.pool.clear();
            return Err(lost(start, "timeout"));
        };
        let body = outcome.map_err(|error| error.after(start))?;
        serde_json::from_slice(&body).map_err(|error| lost(start, &error.to_string()))
    }

    fn request<Q: Serialize>(
        &self,
        path: &str,
        message: &Q,
    ) -> Result<Request<Full<Bytes>>, TableError> {
        let body = serde_json::to_vec(message).map_err(|error| refused(&error.to_string()))?;
        if body.len() > MAX_BODY_BYTES {
            return Err(refused("the request is too large"));
        }
        Request::builder()
            .method(Method::POST)
            .uri(path)
            .header(HOST, self.address.to_string())
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(|error| refused(&error.to_string()))
    }

    async fn exchange(
        &self,
        mut connection: TableConnection,
        request: Request<Full<Bytes>>,
    ) -> Result<Bytes, ExchangeError> {
        let response = match connection.try_send_request(request).await {
            Ok(response) => response,
            Err(mut error) => {
                // hyper hands the request back only if none of it was written.
                let Some(request) = error.take_message() else {
                    return Err(ExchangeError::Lost(error.into_error().to_string()));
                };
                connection = self.pool.connect().await?;
                connection
                    .send_request(request)
                    .await
                    .map_err(|error| ExchangeError::Lost(error.to_string()))?
            }
        };
        let body = whole_body(response).await?;
        self.pool.give_back(connection);
        Ok(body)
    }

    fn refused_late(&self) -> TableError {
        refused(&format!("no connection within {:?}", self.timeout))
    }
}

impl TableStore for HttpTable {
    async fn transact(&self, writes: Vec<TableWrite>) -> Result<Vec<WriteResult>, TableError> {
        let count = writes.len();
        let start = Instant::now();
        let request = TransactRequest { writes };
        let answer: TransactAnswer = self.post(TRANSACT_PATH, &request).await?;
        check_count(answer.results, count, start)
    }

    async fn read(
        &self,
        table: &str,
        keys: Vec<String>,
    ) -> Result<Vec<Option<TableRow>>, TableError> {
        let count = keys.len();
        let start = Instant::now();
        let table = table.into();
        let request = ReadRequest { table, keys };
        let answer: ReadAnswer = self.post(READ_PATH, &request).await?;
        check_count(answer.rows, count, start)
    }

    async fn scan(
        &self,
        table: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<TableRow>, TableError> {
        let request = ScanRequest {
            table: table.into(),
            after: after.into(),
            limit,
        };
        let answer: ScanAnswer = self.post(SCAN_PATH, &request).await?;
        Ok(answer.rows)
    }
}

/// Why an exchange over an open connection gave no body.
enum ExchangeError {
    Refused(TableError),
    Lost(String),
}

impl ExchangeError {
    fn after(self, start: Instant) -> TableError {
        match self {
            Self::Refused(error) => error,
            Self::Lost(reason) => lost(start, &reason),
        }
    }
}

impl From<TableError> for ExchangeError {
    fn from(error: TableError) -> Self {
        Self::Refused(error)
    }
}

async fn whole_body(response: Response<Incoming>) -> Result<Bytes, ExchangeError> {
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_BODY_BYTES)
        .collect()
        .await
        .map_err(|error| ExchangeError::Lost(error.to_string()))?;
    match status {
        StatusCode::OK => Ok(body.to_bytes()),
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
            Err(refused(&format!("status {status}")).into())
        }
        _ => Err(ExchangeError::Lost(format!("status {status}"))),
    }
}

fn check_count<T>(items: Vec<T>, count: usize, start: Instant) -> Result<Vec<T>, TableError> {
    if items.len() == count {
        Ok(items)
    } else {
        Err(lost(start, "the answer has another number of rows"))
    }
}

fn refused(reason: &str) -> TableError {
    TableError::Refused(reason.into())
}

fn lost(start: Instant, reason: &str) -> TableError {
    TableError::Lost {
        waited: start.elapsed(),
        reason: reason.into(),
    }
}
