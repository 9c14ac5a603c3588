use std::time::Duration;

/// Bounds of the claims of one daemon.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClaimLimits {
    /// Calls that are being claimed or run.
    pub open_calls: usize,
    /// Ended calls that are remembered.
    pub recorded_calls: usize,
    /// Bytes of all recorded answers.
    pub recorded_bytes: usize,
    /// Bytes of the largest answer that is recorded.
    pub response_bytes: usize,
    /// Bytes of the largest answer that is also kept in the claim's row; 0 for none.
    pub row_response_bytes: usize,
    /// Repeats that wait for one call.
    pub waiting_retries: usize,
    /// Rows that wait for a transaction, for each service.
    pub queued_rows: usize,
    /// Rows of one transaction.
    pub batch_rows: usize,
    /// Transactions of one service, sustained.
    pub commits_per_s: u32,
    /// Transactions of one service that may start at once after a pause.
    pub commit_burst: u32,
    /// Longest time that a batcher spends on one batch.
    pub commit_timeout: Duration,
    /// Longest wait for a batcher before the next one is asked.
    pub batcher_timeout: Duration,
    /// Time for which a batcher that failed is passed over.
    pub batcher_cooldown: Duration,
}

impl Default for ClaimLimits {
    fn default() -> Self {
        Self {
            open_calls: 4_096,
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
