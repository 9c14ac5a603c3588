use {
    super::TableError,
    bytes::Bytes,
    http_body_util::Full,
    hyper::client::conn::http1::{self, SendRequest},
    hyper_util::rt::TokioIo,
    std::{
        net::SocketAddr,
        sync::{Mutex, PoisonError},
    },
    tokio::net::TcpStream,
};

/// Idle connections that are kept.
const MAX_IDLE: usize = 16;

/// A connection that carries one request at a time.
pub(super) type TableConnection = SendRequest<Full<Bytes>>;

/// Idle connections to the table service.
///
/// A connection is in the pool only between a whole answer and the next request.
#[derive(Debug)]
pub(super) struct ConnectionPool {
    address: SocketAddr,
    idle: Mutex<Vec<TableConnection>>,
}

impl ConnectionPool {
    pub(super) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle: Mutex::default(),
        }
    }

    /// An idle connection that is still open, else a new one.
    pub(super) async fn take(&self) -> Result<TableConnection, TableError> {
        while let Some(mut connection) = self.pop() {
            if connection.ready().await.is_ok() {
                return Ok(connection);
            }
        }
        self.connect().await
    }

    pub(super) async fn connect(&self) -> Result<TableConnection, TableError> {
        let refused =
            |error: &dyn std::fmt::Display| TableError::Refused(format!("connect: {error}"));
        let stream = TcpStream::connect(self.address)
            .await
            .map_err(|error| refused(&error))?;
        stream.set_nodelay(true).map_err(|error| refused(&error))?;
        let (connection, driver) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| refused(&error))?;
        tokio::spawn(driver);
        Ok(connection)
    }

    /// Gives back a connection whose last answer was read whole.
    pub(super) fn give_back(&self, connection: TableConnection) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        if idle.len() < MAX_IDLE && !connection.is_closed() {
            idle.push(connection);
        }
    }

    /// Closes what is idle: when one connection has gone silent, others may have too.
    pub(super) fn clear(&self) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.clear();
    }

    fn pop(&self) -> Option<TableConnection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.pop()
    }
}
