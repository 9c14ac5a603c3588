/// Retries that are saved up at most.
const MAX_SAVED_RETRIES: u32 = 10;
const PERCENT: u32 = 100;

/// Token bucket that keeps retries to one service below a share of the first attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryBucket {
    /// Hundredths of a retry.
    tokens: u32,
}

impl RetryBucket {
    #[must_use]
    pub const fn new() -> Self {
        Self {
            tokens: MAX_SAVED_RETRIES * PERCENT,
        }
    }

    /// Notes a first attempt, which saves up `ratio_percent` of a retry.
    pub fn record_attempt(&mut self, ratio_percent: u32) {
        let tokens = self.tokens.saturating_add(ratio_percent);
        self.tokens = tokens.min(MAX_SAVED_RETRIES * PERCENT);
    }

    /// Takes one retry; false if none is saved up.
    pub fn take(&mut self) -> bool {
        match self.tokens.checked_sub(PERCENT) {
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
