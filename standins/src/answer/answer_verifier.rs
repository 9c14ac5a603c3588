use super::AnswerPattern;

/// What an answer turned out to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerVerdict {
    Whole,
    /// Ended before its length although the transfer ended cleanly.
    Short,
    /// Held other bytes than those of its call.
    Foreign,
}

/// Compares an answer with the pattern of its call while it arrives.
#[derive(Debug)]
pub struct AnswerVerifier {
    pattern: AnswerPattern,
    is_foreign: bool,
}

impl AnswerVerifier {
    #[must_use]
    pub fn new(pattern: AnswerPattern) -> Self {
        Self {
            pattern,
            is_foreign: false,
        }
    }

    pub fn feed(&mut self, chunk: &[u8]) {
        let expected = self.pattern.take(chunk.len());
        self.is_foreign |= expected != chunk;
    }

    #[must_use]
    pub fn verdict(&self) -> AnswerVerdict {
        if self.is_foreign {
            AnswerVerdict::Foreign
        } else if self.pattern.remaining() > 0 {
            AnswerVerdict::Short
        } else {
            AnswerVerdict::Whole
        }
    }
}
