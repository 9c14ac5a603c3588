use {
    super::{PolicyConflict, PolicyHash},
    crate::{error::StepError, jsonc::FieldError},
    std::time::Duration,
    thiserror::Error,
};

/// Why a submitted policy was not accepted.
#[derive(Debug, Error)]
pub enum SubmitError {
    #[error("{} invalid values", .0.len())]
    Invalid(Vec<FieldError>),
    #[error(
        "version {} was accepted since version {}",
        .0.current.version,
        .0.base_version
    )]
    Conflict(Box<PolicyConflict>),
    /// Nothing was committed.
    #[error("nothing was committed: {0}")]
    Unavailable(#[from] StepError),
    /// The policy may have been committed, or may still be committed.
    #[error(
        "no response of the table service after {waited:?}; \
         the policy may become version {version} with hash {hash}"
    )]
    OutcomeUnknown {
        version: u64,
        hash: PolicyHash,
        waited: Duration,
    },
    #[error("the daemon is stopping; the policy may have been committed")]
    Stopped,
}
