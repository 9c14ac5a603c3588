use {std::io, thiserror::Error};

/// Error that stops the replay of a trace; line numbers start at 1.
#[derive(Debug, Error)]
pub enum ReplayError {
    #[error("line {line}: reading failed: {source}")]
    Read { line: usize, source: io::Error },
    #[error("line {line}: longer than the limit of {max_bytes} bytes")]
    LineTooLong { line: usize, max_bytes: usize },
    #[error("trace exceeds the limit of {max_lines} lines")]
    TooManyLines { max_lines: usize },
    #[error("line {line}: field {field}: {reason}")]
    InvalidField {
        line: usize,
        field: String,
        reason: String,
    },
    #[error("line {line}: at_us {at_us} is earlier than that of the previous line")]
    TimeDecreased { line: usize, at_us: u64 },
    #[error("line {line}: event before the first guard line")]
    MissingGuard { line: usize },
    #[error("line {line}: call {call} was already offered")]
    DuplicateCall { line: usize, call: u64 },
}
