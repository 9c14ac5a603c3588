use {crate::context::ServiceName, std::fmt};

/// Header that carries the cause of a failure from the deepest call up to the front.
pub(crate) const TROUBLE_HEADER: &str = "bt-cause";

/// Bytes of the longest outcome that is read.
const MAX_OUTCOME_BYTES: usize = 32;
const SEPARATOR: char = '=';

/// Why a call failed that made the calls above it fail.
///
/// The log lines of deep calls are bounded in their number, so the line at the front tells the
/// cause as well.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FailureCause {
    /// Service that the failed call was for.
    pub service: ServiceName,
    /// How the call ended, by the name that logs have for it.
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

    /// Reads a header value, as the type displays itself; `None` if it is none.
    #[must_use]
    pub fn decode(text: &str) -> Option<Self> {
        let (service, outcome) = text.split_once(SEPARATOR)?;
        let is_name = |letter: char| letter.is_ascii_lowercase() || letter == '-';
        let is_outcome = (1..=MAX_OUTCOME_BYTES).contains(&outcome.len());
        let is_valid = is_outcome && outcome.chars().all(is_name);
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
