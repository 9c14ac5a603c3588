use {
    super::FieldError,
    std::{fmt, io},
    thiserror::Error,
};

/// Why a document could not be read; [`Invalid`](Self::Invalid) displays one line per error.
#[derive(Debug, Error)]
pub enum DocumentError {
    #[error("{name}: {source}")]
    Unreadable { name: String, source: io::Error },
    #[error("{name}: exceeds the limit of {limit} bytes")]
    TooLong { name: String, limit: usize },
    #[error("{}", join_lines(.0))]
    Invalid(Vec<LineError>),
}

/// An error in a field, with its document and line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LineError {
    pub name: String,
    /// Starts at 1.
    pub line: usize,
    pub field_error: FieldError,
}

impl fmt::Display for LineError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}:{}: ", self.name, self.line)?;
        if self.field_error.field.is_empty() {
            formatter.write_str(&self.field_error.message)
        } else {
            write!(formatter, "{}", self.field_error)
        }
    }
}

fn join_lines(errors: &[LineError]) -> String {
    let lines: Vec<_> = errors.iter().map(ToString::to_string).collect();
    lines.join("\n")
}
