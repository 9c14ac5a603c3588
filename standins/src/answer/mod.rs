//! Answers whose every byte is known beforehand.
//!
//! A target writes the pattern of its service, the path and the identity of the call; a caller
//! compares what arrives, so that a cut, mixed or reordered answer never passes as whole.

mod answer_body;
mod answer_pattern;
mod answer_verifier;

pub use {
    answer_body::AnswerBody,
    answer_pattern::AnswerPattern,
    answer_verifier::{AnswerVerdict, AnswerVerifier},
};
