use std::time::Duration;

/// Limits of the claims of one daemon.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClaimLimits {
    /// Calls that are being claimed or run.
    pub calls_in_progress: usize,
    /// Ended calls that are kept in memory.
    pub recorded_calls: usize,
    /// Size of all recorded responses in bytes.
    pub recorded_bytes: usize,
    /// Size of the largest response that is recorded, in bytes.
    pub response_bytes: usize,
    /// Size of the largest response that is also stored in the claim's row, in bytes; 0 for none.
    pub row_response_bytes: usize,
    /// Retries that wait for one call.
    pub waiting_retries: usize,
    /// Rows per service that wait for a transaction.
    pub queued_rows: usize,
    /// Rows per transaction.
    pub batch_rows: usize,
    /// Sustained transaction rate per service, in 1/s.
    pub commits_per_s: u32,
    /// Transactions per service that may start without delay after an idle period.
    pub commit_burst: u32,
    /// Maximum time that a batcher spends on one batch.
    pub commit_timeout: Duration,
    /// Maximum wait for a batcher's reply before the next one is tried.
    pub batcher_timeout: Duration,
    /// Time for which a batcher that failed is skipped.
    pub batcher_cooldown: Duration,
}

impl Default for ClaimLimits {
    fn default() -> Self {
        Self {
            calls_in_progress: 4_096,
            recorded_calls: 8_192,
            recorded_bytes: 4 * 1024 * 1024,
            response_bytes: 64 * 1024,
            row_response_bytes: 1_024,
            waiting_retries: 64,
            queued_rows: 2_048,
            batch_rows: 512,
            commits_per_s: 15,
            commit_burst: 10,
            commit_timeout: Duration::from_secs(1),
            batcher_timeout: Duration::from_millis(1_300),
            batcher_cooldown: Duration::from_secs(5),
        }
    }
}
