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

/// Maximum number of idle connections that are kept open.
const MAX_IDLE_CONNECTIONS: usize = 16;

/// An HTTP/1.1 connection; it handles one request at a time.
pub(super) type TableConnection = SendRequest<Full<Bytes>>;

/// Idle connections to the table service.
///
/// A connection is in the pool only between a complete response and the next request.
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

    /// Returns an idle connection that is still open, or opens a new one.
    pub(super) async fn acquire(&self) -> Result<TableConnection, TableError> {
        while let Some(mut connection) = self.pop_idle() {
            if connection.ready().await.is_ok() {
                return Ok(connection);
            }
        }
        self.connect().await
    }

    pub(super) async fn connect(&self) -> Result<TableConnection, TableError> {
        let connect_error =
            |error: &dyn std::fmt::Display| TableError::Refused(format!("connect: {error}"));
        let stream = TcpStream::connect(self.address)
            .await
            .map_err(|error| connect_error(&error))?;
        stream
            .set_nodelay(true)
            .map_err(|error| connect_error(&error))?;
        let (connection, connection_task) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| connect_error(&error))?;
        tokio::spawn(connection_task);
        Ok(connection)
    }

    /// Returns a connection to the pool; its last response must have been read completely.
    pub(super) fn release(&self, connection: TableConnection) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        if idle.len() < MAX_IDLE_CONNECTIONS && !connection.is_closed() {
            idle.push(connection);
        }
    }

    /// Closes all idle connections.
    ///
    /// After a timeout on one connection, others to the same service may be broken as well.
    pub(super) fn close_idle(&self) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.clear();
    }

    fn pop_idle(&self) -> Option<TableConnection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.pop()
    }
}
