//! Answers whose every byte is known beforehand.
//!
//! A target writes the pattern of its service, the path and the identity of the call; a caller
//! compares what arrives, so that a cut, mixed or reordered answer never passes as whole.

mod response_pattern;
mod response_verifier;
mod standin_body;

pub use {
    response_pattern::ResponsePattern,
    response_verifier::{ResponseCheck, ResponseVerifier},
    standin_body::StandinBody,
};
