use {crate::client::CallPath, banyantrestle::context::ServiceName, std::time::Duration};

/// How callers retry a call that got no complete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryStrategy {
    Never,
    /// Retries without delay.
    Immediate {
        /// Attempts of one request, including the first.
        attempts: u32,
    },
    /// Waits for the time in `Retry-After` plus jitter; gives up on a response without that header.
    RetryAfter {
        /// Attempts of one request, including the first.
        attempts: u32,
    },
}

/// Arrivals and calls of one request class.
#[derive(Clone, Debug)]
pub struct CallerClass {
    pub name: String,
    pub service: ServiceName,
    pub path: CallPath,
    /// Mean arrivals per second.
    pub rate: f64,
    /// Each request carries an idempotency key, which all its attempts share.
    pub is_keyed: bool,
    /// Time limit for the complete response to one attempt.
    pub timeout: Duration,
}

/// Settings of a fleet of callers.
#[derive(Clone, Debug)]
pub struct CallerSettings {
    pub classes: Vec<CallerClass>,
    pub strategy: RetryStrategy,
    /// Seed of the arrivals and the jitter.
    pub seed: u64,
}
