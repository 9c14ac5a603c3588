use {
    super::USAGE_STATUS,
    crate::{error::StepError, jsonc::DocumentError},
    std::{io, path::PathBuf, process::ExitCode},
    thiserror::Error,
};

/// Why a command did not succeed.
#[derive(Debug, Error)]
pub enum CliError {
    #[error("{0}")]
    Usage(String),
    #[error(transparent)]
    Document(#[from] DocumentError),
    #[error("{}: {source}", path.display())]
    Unreadable { path: PathBuf, source: io::Error },
    #[error(transparent)]
    Step(#[from] StepError),
    #[error("{0}")]
    Refused(String),
    #[error("{failed} of {asked} daemons did not answer; their events are missing above")]
    Partial { failed: usize, asked: usize },
}

impl CliError {
    /// 2 for bad input, 1 for a failure.
    #[must_use]
    pub fn exit_code(&self) -> ExitCode {
        match self {
            Self::Usage(_) | Self::Document(_) | Self::Unreadable { .. } => {
                ExitCode::from(USAGE_STATUS)
            }
            Self::Step(_) | Self::Refused(_) | Self::Partial { .. } => ExitCode::FAILURE,
        }
    }
}
