use {
    super::{ReplayError, TraceLine},
    std::io::{BufRead, Read},
};

/// Maximum length of a line, in bytes.
pub const MAX_LINE_BYTES: usize = 16 * 1024;
/// Maximum number of lines in a trace.
pub const MAX_LINES: usize = 2_000_000;

/// Reads and parses a trace line by line.
pub(super) struct TraceReader<R> {
    reader: R,
    buffer: Vec<u8>,
    line_number: usize,
}

/// Trace line with its line number.
pub(super) struct NumberedLine<'a> {
    pub(super) number: usize,
    pub(super) line: TraceLine<'a>,
}

impl<R: BufRead> TraceReader<R> {
    pub(super) fn new(reader: R) -> Self {
        Self {
            reader,
            buffer: Vec::new(),
            line_number: 0,
        }
    }

    /// Returns the next line; blank lines are skipped.
    pub(super) fn next_line(&mut self) -> Result<Option<NumberedLine<'_>>, ReplayError> {
        loop {
            if !self.read_line()? {
                return Ok(None);
            }
            if !self.buffer.trim_ascii().is_empty() {
                break;
            }
        }
        let number = self.line_number;
        let line = parse_line(number, &self.buffer)?;
        Ok(Some(NumberedLine { number, line }))
    }

    /// Reads one line into the buffer; returns false at the end of the trace.
    fn read_line(&mut self) -> Result<bool, ReplayError> {
        self.buffer.clear();
        self.line_number += 1;
        let line = self.line_number;
        let read_limit = MAX_LINE_BYTES as u64 + 1;
        let length = self
            .reader
            .by_ref()
            .take(read_limit)
            .read_until(b'\n', &mut self.buffer)
            .map_err(|source| ReplayError::Read { line, source })?;
        if length > MAX_LINE_BYTES {
            let max_bytes = MAX_LINE_BYTES;
            return Err(ReplayError::LineTooLong { line, max_bytes });
        }
        if length > 0 && line > MAX_LINES {
            return Err(ReplayError::TooManyLines {
                max_lines: MAX_LINES,
            });
        }
        Ok(length > 0)
    }
}

fn parse_line(line: usize, bytes: &[u8]) -> Result<TraceLine<'_>, ReplayError> {
    let mut decoder = serde_json::Deserializer::from_slice(bytes);
    let parsed = serde_path_to_error::deserialize(&mut decoder).map_err(|error| {
        let field = error.path().to_string();
        let reason = error.inner().to_string();
        ReplayError::InvalidField {
            line,
            field,
            reason,
        }
    })?;
    decoder.end().map_err(|error| ReplayError::InvalidField {
        line,
        field: ".".into(),
        reason: error.to_string(),
    })?;
    Ok(parsed)
}
