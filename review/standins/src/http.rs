//! HTTP/1.1 on blocking sockets: heads, bodies, and a client.

use std::{
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// First line and headers of a message.
#[derive(Clone, Debug)]
pub struct Head {
    pub first_line: String,
    headers: Vec<(String, String)>,
}

impl Head {
    /// Reads a head; `None` at the end of the connection.
    pub fn read(reader: &mut impl BufRead) -> io::Result<Option<Self>> {
        let mut first_line = String::new();
        if reader.read_line(&mut first_line)? == 0 {
            return Ok(None);
        }
        let mut headers = Vec::new();
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let line = line.trim_end();
            if line.is_empty() {
                break;
            }
            if let Some((name, value)) = line.split_once(':') {
                headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
            }
        }
        Ok(Some(Self {
            first_line: first_line.trim_end().to_owned(),
            headers,
        }))
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(key, _)| key == name)
            .map(|(_, value)| value.as_str())
    }

    pub fn word(&self, index: usize) -> &str {
        self.first_line.split(' ').nth(index).unwrap_or_default()
    }

    /// Reads the body, giving each piece to `sink`.
    pub fn read_body(
        &self,
        reader: &mut impl BufRead,
        mut sink: impl FnMut(&[u8]),
    ) -> io::Result<u64> {
        let is_chunked = self
            .header("transfer-encoding")
            .is_some_and(|value| value.contains("chunked"));
        if !is_chunked {
            let length = self
                .header("content-length")
                .and_then(|text| text.parse().ok());
            return copy_exactly(reader, length.unwrap_or(0), &mut sink);
        }
        let mut total = 0;
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let size = u64::from_str_radix(line.trim().split(';').next().unwrap_or_default(), 16);
            let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            total += copy_exactly(reader, size, &mut sink)?;
            let mut end = String::new();
            if reader.read_line(&mut end)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            if size == 0 {
                return Ok(total);
            }
        }
    }
}

fn copy_exactly(
    reader: &mut impl BufRead,
    length: u64,
    sink: &mut impl FnMut(&[u8]),
) -> io::Result<u64> {
    let mut left = length;
    let mut buffer = [0; 16 * 1024];
    while left > 0 {
        let wanted = usize::try_from(left)
            .unwrap_or(usize::MAX)
            .min(buffer.len());
        let count = reader.read(&mut buffer[..wanted])?;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        sink(&buffer[..count]);
        left -= count as u64;
    }
    Ok(length)
}

/// How a request ended at the client.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// 0 if the connection ended before the head of the answer.
    pub status: u16,
    pub signature: Option<String>,
    pub body_bytes: u64,
    pub is_complete: bool,
    pub is_closing: bool,
    /// Why no complete answer came.
    pub error: String,
}

impl Answer {
    pub fn is_success(&self) -> bool {
        self.is_complete && self.status == 200 && self.signature.is_some()
    }

    pub fn describe(&self) -> String {
        match (self.status, self.is_complete) {
            (0, _) => format!("no answer: {}", self.error),
            (status, true) => format!("{status}, whole body of {} bytes", self.body_bytes),
            (status, false) => {
                format!(
                    "{status}, body cut off after {} bytes: {}",
                    self.body_bytes, self.error
                )
            }
        }
    }
}

/// A request of a client.
#[derive(Clone, Debug)]
pub struct Request<'a> {
    pub method: &'a str,
    pub host: &'a str,
    pub path: &'a str,
    pub id: &'a str,
    pub deadline: Duration,
    /// Key of the client's tenant.
    pub key: Option<&'a str>,
    pub body: &'a [u8],
}

/// A client's connection, which it keeps for many requests.
pub struct Client {
    reader: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        Ok(Self {
            reader: BufReader::new(stream),
        })
    }

    /// Sends a request and reads its answer, which it awaits until the deadline.
    pub fn call(&mut self, request: &Request<'_>) -> Answer {
        let mut answer = Answer::default();
        if let Err(error) = self.exchange(request, &mut answer) {
            answer.error = error.to_string();
        }
        answer
    }

    fn exchange(&mut self, request: &Request<'_>, answer: &mut Answer) -> io::Result<()> {
        let stream = self.reader.get_mut();
        stream.set_read_timeout(Some(request.deadline))?;
        stream.set_write_timeout(Some(request.deadline))?;
        let key = request
            .key
            .map_or_else(String::new, |key| format!("Authorization: Token {key}\r\n"));
        let head = format!(
            "{} {} HTTP/1.1\r\nHost: {}\r\nX-Banyantrestle-Request-Id: {}\r\n\
             X-Banyantrestle-Deadline-Ms: {}\r\n{key}Content-Length: {}\r\n\r\n",
            request.method,
            request.path,
            request.host,
            request.id,
            request.deadline.as_millis(),
            request.body.len(),
        );
        stream.write_all(head.as_bytes())?;
        stream.write_all(request.body)?;
        let Some(head) = Head::read(&mut self.reader)? else {
            return Err(io::Error::other("connection closed"));
        };
        answer.status = head.word(1).parse().unwrap_or(0);
        answer.signature = head
            .header("x-banyantrestle-response-signature")
            .map(str::to_owned);
        answer.is_closing = head
            .header("connection")
            .is_some_and(|value| value.contains("close"));
        head.read_body(&mut self.reader, |piece| {
            answer.body_bytes += piece.len() as u64
        })?;
        answer.is_complete = true;
        Ok(())
    }
}

/// Sends one request on a new connection; for the platform's and the upstreams' own calls.
pub fn call_once(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    timeout: Duration,
) -> io::Result<u16> {
    let mut stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_read_timeout(Some(timeout))?;
    write!(
        stream,
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len(),
    )?;
    let mut reader = BufReader::new(stream);
    let head = Head::read(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    Ok(head.word(1).parse().unwrap_or(0))
}
