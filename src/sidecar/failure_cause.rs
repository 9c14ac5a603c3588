use {crate::context::ServiceName, std::fmt};

/// Response header with the cause of a failure, sent from the deepest call to the ingress
/// sidecar.
pub(crate) const CAUSE_HEADER: &str = "bt-cause";

/// Maximum length of a decoded outcome, in bytes.
const MAX_OUTCOME_BYTES: usize = 32;
const SEPARATOR: char = '=';

/// The failed call that made the calls above it fail.
///
/// Log lines of nested calls are rate-limited and may be missing, so the ingress sidecar logs the
/// cause with its own line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FailureCause {
    /// Service that the failed call was sent to.
    pub service: ServiceName,
    /// Outcome of the call, by its name in the logs.
    pub outcome: String,
}

impl FailureCause {
    #[must_use]
    pub fn new(service: &ServiceName, outcome: &str) -> Self {
        Self {
            service: service.clone(),
            outcome: outcome.into(),
        }
    }

    /// Parses a header value as written by [`fmt::Display`]; `None` if it is malformed.
    #[must_use]
    pub fn decode(text: &str) -> Option<Self> {
        let (service, outcome) = text.split_once(SEPARATOR)?;
        let is_outcome_char = |character: char| character.is_ascii_lowercase() || character == '-';
        let has_valid_length = (1..=MAX_OUTCOME_BYTES).contains(&outcome.len());
        let is_valid = has_valid_length && outcome.chars().all(is_outcome_char);
        let service = ServiceName::new(service).ok()?;
        is_valid.then(|| Self::new(&service, outcome))
    }
}

impl fmt::Display for FailureCause {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { service, outcome } = self;
        write!(formatter, "{service}{SEPARATOR}{outcome}")
    }
}
