use {
    super::{RelayControl, relay_control::RelayDirection},
    socket2::SockRef,
    std::{
        future::pending,
        io::{self, ErrorKind},
        net::Shutdown,
        sync::Arc,
    },
    tokio::{
        net::TcpStream,
        sync::{mpsc, watch},
        time::{Instant, sleep_until},
    },
};

const CHUNK_BYTES: usize = 16 * 1024;
/// Chunks of one direction that may wait for delivery.
const MAX_QUEUED_CHUNKS: usize = 64;

/// Copies the bytes of one direction of one relayed connection.
#[derive(Clone)]
pub struct TcpPump {
    pub number: u64,
    pub direction: RelayDirection,
    pub from: Arc<TcpStream>,
    pub to: Arc<TcpStream>,
    pub control: watch::Receiver<RelayControl>,
}

struct DelayedChunk {
    due_at: Instant,
    bytes: Vec<u8>,
}

impl TcpPump {
    /// Copies bytes until the sender closes its side or the connection fails.
    pub async fn run(self) {
        let (sender, receiver) = mpsc::channel(MAX_QUEUED_CHUNKS);
        let writer = self.clone();
        let written = tokio::spawn(async move { writer.write_all(receiver).await });
        let read = self.read_all(sender).await;
        if self.is_silent() {
            // A silent connection stays open on the other side after this side has closed.
            pending::<()>().await;
        }
        if read.is_err() {
            return;
        }
        if matches!(written.await, Ok(Ok(()))) {
            let _ = SockRef::from(self.to.as_ref()).shutdown(Shutdown::Write);
        }
    }

    fn is_silent(&self) -> bool {
        self.number < self.control.borrow().silent_below
    }

    fn is_dropping(&self) -> bool {
        self.is_silent() || self.control.borrow().is_blocked(self.direction)
    }

    async fn read_all(&self, sender: mpsc::Sender<DelayedChunk>) -> io::Result<()> {
        let mut buffer = vec![0; CHUNK_BYTES];
        loop {
            let length = read(&self.from, &mut buffer).await?;
            if length == 0 {
                return Ok(());
            }
            if self.is_dropping() {
                continue;
            }
            let chunk = DelayedChunk {
                due_at: Instant::now() + self.control.borrow().delay(),
                bytes: buffer[..length].to_vec(),
            };
            if sender.send(chunk).await.is_err() {
                return Err(ErrorKind::BrokenPipe.into());
            }
        }
    }

    async fn write_all(&self, mut receiver: mpsc::Receiver<DelayedChunk>) -> io::Result<()> {
        while let Some(chunk) = receiver.recv().await {
            sleep_until(chunk.due_at).await;
            if !self.is_dropping() {
                write(&self.to, &chunk.bytes).await?;
            }
        }
        Ok(())
    }
}

async fn read(stream: &TcpStream, buffer: &mut [u8]) -> io::Result<usize> {
    loop {
        stream.readable().await?;
        match stream.try_read(buffer) {
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            result => return result,
        }
    }
}

async fn write(stream: &TcpStream, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        stream.writable().await?;
        match stream.try_write(bytes) {
            Ok(length) => bytes = &bytes[length..],
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}
