/// Retries that are saved up at most.
const MAX_SAVED_RETRIES: u32 = 10;
const PERCENT: u32 = 100;

/// Token bucket that keeps retries to one service below a share of the first attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryBucket {
    /// Hundredths of a retry.
    saved: u32,
}

impl RetryBucket {
    #[must_use]
    pub const fn new() -> Self {
        Self {
            saved: MAX_SAVED_RETRIES * PERCENT,
        }
    }

    /// Notes a first attempt, which saves up `ratio_percent` of a retry.
    pub fn record_attempt(&mut self, ratio_percent: u32) {
        let saved = self.saved.saturating_add(ratio_percent);
        self.saved = saved.min(MAX_SAVED_RETRIES * PERCENT);
    }

    /// Takes one retry; false if none is saved up.
    pub fn take(&mut self) -> bool {
        match self.saved.checked_sub(PERCENT) {
            Some(saved) => {
                self.saved = saved;
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
