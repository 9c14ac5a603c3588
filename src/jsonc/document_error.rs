use {
    super::FieldError,
    std::{fmt, io},
    thiserror::Error,
};

/// Why a document was not read; one line for each fault.
#[derive(Debug, Error)]
pub enum DocumentError {
    #[error("{name}: {source}")]
    Unreadable { name: String, source: io::Error },
    #[error("{name}: over the bound of {bound} bytes")]
    TooLong { name: String, bound: usize },
    #[error("{}", join_lines(.0))]
    Faults(Vec<LineError>),
}

/// A fault with its place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LineError {
    pub name: String,
    /// From 1.
    pub line: usize,
    pub fault: FieldError,
}

impl fmt::Display for LineError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}:{}: ", self.name, self.line)?;
        if self.fault.field.is_empty() {
            formatter.write_str(&self.fault.message)
        } else {
            write!(formatter, "{}", self.fault)
        }
    }
}

fn join_lines(faults: &[LineError]) -> String {
    let lines: Vec<_> = faults.iter().map(ToString::to_string).collect();
    lines.join("\n")
}
