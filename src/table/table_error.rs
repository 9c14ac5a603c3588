use {std::time::Duration, thiserror::Error};

/// Why the table service returned no usable response.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum TableError {
    /// Nothing took effect.
    #[error("refused; nothing took effect: {0}")]
    Refused(String),
    /// The write may have taken effect; reading the row shows whether it did.
    #[error("no usable response after {waited:?}; the write may have taken effect: {reason}")]
    OutcomeUnknown { waited: Duration, reason: String },
}
