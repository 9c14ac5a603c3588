/// Capacity of the bucket, in retries.
const MAX_SAVED_RETRIES: u32 = 10;
/// One token is one percent of a retry.
const TOKENS_PER_RETRY: u32 = 100;

/// Token bucket that limits the retries to one service to a share of the first attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryBucket {
    /// In percent of a retry.
    tokens: u32,
}

impl RetryBucket {
    #[must_use]
    pub const fn new() -> Self {
        Self {
            tokens: MAX_SAVED_RETRIES * TOKENS_PER_RETRY,
        }
    }

    /// Records a first attempt, which adds `ratio_percent` % of a retry to the bucket.
    pub fn record_attempt(&mut self, ratio_percent: u32) {
        let tokens = self.tokens.saturating_add(ratio_percent);
        self.tokens = tokens.min(MAX_SAVED_RETRIES * TOKENS_PER_RETRY);
    }

    /// Acquires one retry from the bucket. Returns false if less than one is left.
    pub fn try_acquire(&mut self) -> bool {
        match self.tokens.checked_sub(TOKENS_PER_RETRY) {
            Some(tokens) => {
                self.tokens = tokens;
                true
            }
            None => false,
        }
    }
}

impl Default for RetryBucket {
    fn default() -> Self {
        Self::new()
    }
}
