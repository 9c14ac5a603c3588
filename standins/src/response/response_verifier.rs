use super::ResponsePattern;

/// Result of comparing a response with the pattern of its call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseCheck {
    Complete,
    /// Shorter than the pattern although the transfer ended without an error.
    Truncated,
    /// Contains other bytes than the pattern.
    Mismatched,
}

/// Compares a response with the pattern of its call while it arrives.
#[derive(Debug)]
pub struct ResponseVerifier {
    pattern: ResponsePattern,
    has_mismatch: bool,
}

impl ResponseVerifier {
    #[must_use]
    pub fn new(pattern: ResponsePattern) -> Self {
        Self {
            pattern,
            has_mismatch: false,
        }
    }

    pub fn update(&mut self, chunk: &[u8]) {
        let expected = self.pattern.next_chunk(chunk.len());
        self.has_mismatch |= expected != chunk;
    }

    #[must_use]
    pub fn check(&self) -> ResponseCheck {
        if self.has_mismatch {
            ResponseCheck::Mismatched
        } else if self.pattern.remaining_bytes() > 0 {
            ResponseCheck::Truncated
        } else {
            ResponseCheck::Complete
        }
    }
}
