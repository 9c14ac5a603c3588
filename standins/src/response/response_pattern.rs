use {
    bytes::{Bytes, BytesMut},
    std::fmt::Write,
};

/// Generator of one response body: numbered lines with the service, path and identity of its call.
#[derive(Clone, Debug)]
pub struct ResponsePattern {
    line_prefix: String,
    line_number: u64,
    buffer: BytesMut,
    remaining_bytes: u64,
}

impl ResponsePattern {
    #[must_use]
    pub fn new(service: &str, path: &str, identity: &str, length: u64) -> Self {
        Self {
            line_prefix: format!("{service} {path} {identity}"),
            line_number: 0,
            buffer: BytesMut::new(),
            remaining_bytes: length,
        }
    }

    /// Bytes that are not generated yet.
    #[must_use]
    pub fn remaining_bytes(&self) -> u64 {
        self.remaining_bytes
    }

    /// Generates the next bytes, at most `limit`; empty at the end.
    pub fn next_chunk(&mut self, limit: usize) -> Bytes {
        let remaining = usize::try_from(self.remaining_bytes).unwrap_or(usize::MAX);
        let length = limit.min(remaining);
        while self.buffer.len() < length {
            self.write_line();
        }
        self.remaining_bytes -= length as u64;
        self.buffer.split_to(length).freeze()
    }

    fn write_line(&mut self) {
        let number = self.line_number;
        self.line_number += 1;
        writeln!(self.buffer, "{} {number}", self.line_prefix).expect("a write to memory succeeds");
    }
}
