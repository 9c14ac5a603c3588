//! Stand-in for an upstream: runs requests, sends heartbeats, leaves and ends.
//!
//! `/PREFIX/MS/..` works for that many ms; `/file/BYTES/MS/..` sends a body of that many bytes,
//! evenly over that time.

use {
    crate::http::{Head, call_once},
    std::{
        io::{self, BufReader, Write},
        net::{SocketAddr, TcpListener, TcpStream},
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        thread,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
};

/// Pieces in which a file is sent.
const FILE_PIECES: u64 = 100;
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(1);

/// A request that the upstream has begun to work on.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub began_at: Instant,
    /// Whether the whole answer was handed to the connection.
    pub is_answered: bool,
}

#[derive(Clone)]
pub struct Upstream {
    pub service: String,
    pub id: String,
    pub address: SocketAddr,
    pub slots: u32,
    /// Unix ms of the start.
    pub born: u64,
    sequence: Arc<AtomicU64>,
    runs: Arc<Mutex<Vec<Run>>>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
    has_ended: Arc<AtomicBool>,
}

impl Upstream {
    pub fn start(service: &str, id: &str, address: SocketAddr, slots: u32) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let upstream = Self {
            service: service.into(),
            id: id.into(),
            address,
            slots,
            born: since_epoch.as_millis() as u64,
            sequence: Arc::default(),
            runs: Arc::default(),
            streams: Arc::default(),
            has_ended: Arc::default(),
        };
        let server = upstream.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if server.has_ended.load(Ordering::SeqCst) {
                    return;
                }
                stream.set_nodelay(true).ok();
                if let Ok(copy) = stream.try_clone() {
                    server.streams.lock().unwrap().push(copy);
                }
                let server = server.clone();
                thread::spawn(move || server.serve(&stream));
            }
        });
        Ok(upstream)
    }

    /// Requests that were run so far, in the order in which they began.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    /// The next heartbeat, as it is now.
    pub fn next_heartbeat(&self, state: &str) -> String {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"akl-a\",\"version\":\"v1\",\"slots\":{},\
             \"state\":\"{state}\",\"warmup_left\":\"0ms\",\"sequence\":{sequence},\"born\":{}}}",
            self.service, self.address, self.slots, self.born
        )
    }

    /// Sends a heartbeat to the admin address of its machine; true if it was acknowledged.
    pub fn send_heartbeat(&self, admin: SocketAddr, heartbeat: &str) -> bool {
        let path = format!("/v1/instances/{}", self.id);
        let status = call_once(admin, "PUT", &path, heartbeat, HEARTBEAT_TIMEOUT);
        status.is_ok_and(|status| status / 100 == 2)
    }

    pub fn beat(&self, admin: SocketAddr, state: &str) -> bool {
        self.send_heartbeat(admin, &self.next_heartbeat(state))
    }

    /// Says that it leaves; true if that was acknowledged.
    pub fn leave(&self, admin: SocketAddr) -> bool {
        let path = format!("/v1/instances/{}", self.id);
        let status = call_once(admin, "DELETE", &path, "", HEARTBEAT_TIMEOUT);
        status.is_ok_and(|status| status / 100 == 2)
    }

    /// Ends the process: its listener and all connections close.
    pub fn end(&self) {
        self.has_ended.store(true, Ordering::SeqCst);
        for stream in self.streams.lock().unwrap().drain(..) {
            stream.shutdown(std::net::Shutdown::Both).ok();
        }
        // Wakes the listener, which then closes.
        TcpStream::connect_timeout(&self.address, Duration::from_millis(200)).ok();
    }

    fn serve(&self, stream: &TcpStream) {
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(head)) = Head::read(&mut reader) {
            if head.read_body(&mut reader, |_| {}).is_err()
                || self.answer(&head, &mut writer).is_err()
            {
                break;
            }
        }
        stream.shutdown(std::net::Shutdown::Both).ok();
    }

    fn answer(&self, head: &Head, writer: &mut TcpStream) -> io::Result<()> {
        let path = head.word(1).to_owned();
        if path == "/healthz" {
            let id = &self.id;
            return write!(
                writer,
                "HTTP/1.1 200 OK\r\nX-Banyantrestle-Instance-Id: {id}\r\nContent-Length: 0\r\n\r\n"
            );
        }
        let id = head
            .header("x-banyantrestle-request-id")
            .unwrap_or_default()
            .to_owned();
        let expected = head
            .header("x-banyantrestle-expected-instance")
            .unwrap_or(&self.id);
        if expected != self.id {
            return write!(
                writer,
                "HTTP/1.1 421 -\r\nX-Banyantrestle-Request-Id: {id}\r\n\
                 X-Banyantrestle-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                self.id
            );
        }
        let run = {
            let mut runs = self.runs.lock().unwrap();
            runs.push(Run {
                id: id.clone(),
                began_at: Instant::now(),
                is_answered: false,
            });
            runs.len() - 1
        };
        let parts: Vec<&str> = path.split('/').collect();
        let number = |index: usize| {
            parts
                .get(index)
                .and_then(|part| part.parse().ok())
                .unwrap_or(0)
        };
        let (bytes, time) = if parts.get(1) == Some(&"file") {
            (number(2), Duration::from_millis(number(3)))
        } else {
            thread::sleep(Duration::from_millis(number(2)));
            (12, Duration::ZERO)
        };
        if self.has_ended.load(Ordering::SeqCst) {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        write!(
            writer,
            "HTTP/1.1 200 OK\r\nX-Banyantrestle-Request-Id: {id}\r\n\
             X-Banyantrestle-Response-Signature: {}.{id}.{bytes}\r\n\
             X-Banyantrestle-Server-Load: 1,0,{}\r\nKeep-Alive: timeout=10\r\n\
             Content-Length: {bytes}\r\n\r\n",
            self.id, self.slots
        )?;
        let begin = Instant::now();
        let mut sent = 0;
        for piece in 1..=FILE_PIECES {
            let due =
                time * u32::try_from(piece).unwrap_or(1) / u32::try_from(FILE_PIECES).unwrap_or(1);
            thread::sleep(due.saturating_sub(begin.elapsed()));
            let end = bytes * piece / FILE_PIECES;
            writer.write_all(&vec![b'x'; usize::try_from(end - sent).unwrap_or(0)])?;
            sent = end;
        }
        self.runs.lock().unwrap()[run].is_answered = true;
        Ok(())
    }
}
