use {
    std::{net::SocketAddr, time::Duration},
    tokio::{io::AsyncReadExt, net::TcpStream, time::timeout},
};

/// Time in which a live target accepts a connection.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);
/// Time for which a live target keeps a new connection open without a request.
const PROBE_READ_TIME: Duration = Duration::from_millis(10);

/// Whether a process listens at the address and keeps a connection open.
pub(crate) async fn accepts_connections(address: SocketAddr) -> bool {
    let connecting = timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await;
    let mut stream = match connecting {
        Ok(Ok(stream)) => stream,
        Ok(Err(_)) => return false,
        // A target that is slow to accept connections is not known to have crashed.
        Err(_) => return true,
    };
    let mut buffer = [0];
    let closing = timeout(PROBE_READ_TIME, stream.read(&mut buffer)).await;
    !matches!(closing, Ok(Ok(0) | Err(_)))
}
