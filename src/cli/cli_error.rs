//! Errors of commands and their exit statuses.

use {
    super::USAGE_STATUS,
    crate::{error::StepError, jsonc::DocumentError},
    std::{io, path::PathBuf, process::ExitCode},
    thiserror::Error,
};

/// Reason why a command failed.
#[derive(Debug, Error)]
pub enum CliError {
    #[error("{0}")]
    Usage(String),
    #[error(transparent)]
    Document(#[from] DocumentError),
    #[error("{}: {source}", path.display())]
    UnreadableFile { path: PathBuf, source: io::Error },
    #[error(transparent)]
    Step(#[from] StepError),
    #[error("{0}")]
    Failed(String),
    #[error(
        "{failed} of {total} daemons did not respond; their events are missing from the output"
    )]
    DaemonsUnreachable { failed: usize, total: usize },
}

impl CliError {
    /// Exit status: 2 for bad input, 1 for any other failure.
    #[must_use]
    pub fn exit_code(&self) -> ExitCode {
        match self {
            Self::Usage(_) | Self::Document(_) | Self::UnreadableFile { .. } => {
                ExitCode::from(USAGE_STATUS)
            }
            Self::Step(_) | Self::Failed(_) | Self::DaemonsUnreachable { .. } => ExitCode::FAILURE,
        }
    }
}
