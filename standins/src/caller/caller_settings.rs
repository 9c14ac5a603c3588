use {crate::client::CallPath, banyantrestle::context::ServiceName, std::time::Duration};

/// What a caller does after a call that gave no whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryStrategy {
    Never,
    /// Calls again at once.
    Immediate {
        /// Calls of one request, the first included.
        attempts: u32,
    },
    /// Waits as long as `Retry-After` says, and gives up on an answer without it.
    RetryAfter {
        /// Calls of one request, the first included.
        attempts: u32,
    },
}

/// Requests of one class.
#[derive(Clone, Debug)]
pub struct CallerClass {
    pub name: String,
    pub service: ServiceName,
    pub path: CallPath,
    /// Arrivals a second.
    pub rate: f64,
    /// Each request carries a key, which all its attempts share.
    pub is_keyed: bool,
    /// Time for the whole answer to one attempt.
    pub timeout: Duration,
}

/// All classes of a fleet of callers.
#[derive(Clone, Debug)]
pub struct CallerSettings {
    pub classes: Vec<CallerClass>,
    pub strategy: RetryStrategy,
    pub seed: u64,
}
