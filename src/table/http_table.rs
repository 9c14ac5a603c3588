use {
    super::{
        TableError, TableRow, TableStore, TableWrite, WriteResult,
        connection_pool::{ConnectionPool, TableConnection},
        wire::{
            MAX_BODY_BYTES, READ_PATH, ReadRequest, ReadResponse, SCAN_PATH, ScanRequest,
            ScanResponse, TRANSACT_PATH, TransactRequest, TransactResponse,
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

/// Client of a table service over HTTP/1.1 with JSON bodies.
#[derive(Clone, Debug)]
pub struct HttpTable {
    address: SocketAddr,
    timeout: Duration,
    pool: Arc<ConnectionPool>,
}

impl HttpTable {
    /// `timeout` limits the duration of each request, including the time to connect.
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

    async fn send_and_decode<M, R>(&self, path: &str, message: &M) -> Result<R, TableError>
    where
        M: Serialize + Sync,
        R: DeserializeOwned,
    {
        let request = self.build_request(path, message)?;
        let start = Instant::now();
        let deadline = start + self.timeout;
        let connection = timeout_at(deadline, self.pool.acquire())
            .await
            .map_err(|_| self.connect_timeout_error())??;
        let response_body = self.send_request(connection, request);
        let Ok(outcome) = timeout_at(deadline, response_body).await else {
            self.pool.close_idle();
            return Err(outcome_unknown(start, "timeout"));
        };
        let body = outcome.map_err(|error| error.into_table_error(start))?;
        serde_json::from_slice(&body).map_err(|error| outcome_unknown(start, &error.to_string()))
    }

    fn build_request<M: Serialize>(
        &self,
        path: &str,
        message: &M,
    ) -> Result<Request<Full<Bytes>>, TableError> {
        let body =
            serde_json::to_vec(message).map_err(|error| refused_error(&error.to_string()))?;
        if body.len() > MAX_BODY_BYTES {
            return Err(refused_error("the request is too large"));
        }
        Request::builder()
            .method(Method::POST)
            .uri(path)
            .header(HOST, self.address.to_string())
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(|error| refused_error(&error.to_string()))
    }

    async fn send_request(
        &self,
        mut connection: TableConnection,
        request: Request<Full<Bytes>>,
    ) -> Result<Bytes, ExchangeError> {
        let response = match connection.try_send_request(request).await {
            Ok(response) => response,
            Err(mut error) => {
                // hyper returns the request only if no part of it was written, so a retry is safe.
                let Some(request) = error.take_message() else {
                    return Err(ExchangeError::OutcomeUnknown(
                        error.into_error().to_string(),
                    ));
                };
                connection = self.pool.connect().await?;
                connection
                    .send_request(request)
                    .await
                    .map_err(|error| ExchangeError::OutcomeUnknown(error.to_string()))?
            }
        };
        let body = read_response_body(response).await?;
        self.pool.release(connection);
        Ok(body)
    }

    fn connect_timeout_error(&self) -> TableError {
        refused_error(&format!("no connection within {:?}", self.timeout))
    }
}

impl TableStore for HttpTable {
    async fn transact(&self, writes: Vec<TableWrite>) -> Result<Vec<WriteResult>, TableError> {
        let count = writes.len();
        let start = Instant::now();
        let request = TransactRequest { writes };
        let response: TransactResponse = self.send_and_decode(TRANSACT_PATH, &request).await?;
        expect_count(response.results, count, start)
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
        let response: ReadResponse = self.send_and_decode(READ_PATH, &request).await?;
        expect_count(response.rows, count, start)
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
        let response: ScanResponse = self.send_and_decode(SCAN_PATH, &request).await?;
        Ok(response.rows)
    }
}

/// Why a request over an open connection returned no body.
enum ExchangeError {
    Refused(TableError),
    OutcomeUnknown(String),
}

impl ExchangeError {
    fn into_table_error(self, start: Instant) -> TableError {
        match self {
            Self::Refused(error) => error,
            Self::OutcomeUnknown(reason) => outcome_unknown(start, &reason),
        }
    }
}

impl From<TableError> for ExchangeError {
    fn from(error: TableError) -> Self {
        Self::Refused(error)
    }
}

async fn read_response_body(response: Response<Incoming>) -> Result<Bytes, ExchangeError> {
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_BODY_BYTES)
        .collect()
        .await
        .map_err(|error| ExchangeError::OutcomeUnknown(error.to_string()))?;
    match status {
        StatusCode::OK => Ok(body.to_bytes()),
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
            Err(refused_error(&format!("status {status}")).into())
        }
        _ => Err(ExchangeError::OutcomeUnknown(format!("status {status}"))),
    }
}

fn expect_count<T>(items: Vec<T>, count: usize, start: Instant) -> Result<Vec<T>, TableError> {
    if items.len() == count {
        Ok(items)
    } else {
        Err(outcome_unknown(
            start,
            "the response has an unexpected number of rows",
        ))
    }
}

fn refused_error(reason: &str) -> TableError {
    TableError::Refused(reason.into())
}

fn outcome_unknown(start: Instant, reason: &str) -> TableError {
    TableError::OutcomeUnknown {
        waited: start.elapsed(),
        reason: reason.into(),
    }
}
