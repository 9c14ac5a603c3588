use {std::io, thiserror::Error};

/// Why a trace could not be replayed; lines count from 1.
#[derive(Debug, Error)]
pub enum ReplayError {
    #[error("line {line}: reading failed: {source}")]
    Read { line: usize, source: io::Error },
    #[error("line {line}: longer than {max_bytes} bytes")]
    LineTooLong { line: usize, max_bytes: usize },
    #[error("more than {max_lines} lines")]
    TooManyLines { max_lines: usize },
    #[error("line {line}: field {field}: {reason}")]
    InvalidField {
        line: usize,
        field: String,
        reason: String,
    },
    #[error("line {line}: at_us {at_us} lies before the line above")]
    TimeDecreased { line: usize, at_us: u64 },
    #[error("line {line}: no guard yet")]
    MissingGuard { line: usize },
    #[error("line {line}: call {call} was offered before")]
    DuplicateCall { line: usize, call: u64 },
}
