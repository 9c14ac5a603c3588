use {std::io, thiserror::Error};

/// Why a trace could not be replayed; lines count from 1.
#[derive(Debug, Error)]
pub enum ReplayError {
    #[error("line {line}: reading failed: {source}")]
    Read { line: usize, source: io::Error },
    #[error("line {line}: longer than {bound} bytes")]
    LongLine { line: usize, bound: usize },
    #[error("more than {bound} lines")]
    ManyLines { bound: usize },
    #[error("line {line}: field {field}: {reason}")]
    Field {
        line: usize,
        field: String,
        reason: String,
    },
    #[error("line {line}: at_us {at_us} lies before the line above")]
    Backwards { line: usize, at_us: u64 },
    #[error("line {line}: no guard yet")]
    NoGuard { line: usize },
    #[error("line {line}: call {call} was offered before")]
    RepeatedCall { line: usize, call: u64 },
}
