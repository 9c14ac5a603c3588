use {
    bytes::{Bytes, BytesMut},
    std::fmt::Write,
};

/// Generator of the bytes of one answer: numbered lines that name their call.
#[derive(Clone, Debug)]
pub struct AnswerPattern {
    subject: String,
    line: u64,
    pending: BytesMut,
    left: u64,
}

impl AnswerPattern {
    #[must_use]
    pub fn new(service: &str, path: &str, identity: &str, length: u64) -> Self {
        Self {
            subject: format!("{service} {path} {identity}"),
            line: 0,
            pending: BytesMut::new(),
            left: length,
        }
    }

    /// Bytes still to come.
    #[must_use]
    pub fn remaining(&self) -> u64 {
        self.left
    }

    /// The next bytes, at most `limit`; empty at the end.
    pub fn take(&mut self, limit: usize) -> Bytes {
        let left = usize::try_from(self.left).unwrap_or(usize::MAX);
        let length = limit.min(left);
        while self.pending.len() < length {
            self.write_line();
        }
        self.left -= length as u64;
        self.pending.split_to(length).freeze()
    }

    fn write_line(&mut self) {
        let line = self.line;
        self.line += 1;
        writeln!(self.pending, "{} {line}", self.subject).expect("memory takes any text");
    }
}
