//! Response bodies whose every byte is known in advance.
//!
//! A target sends a pattern of its service name, the path and the identity of the call. The caller
//! compares the response with this pattern, so that a truncated, mixed-up or reordered response is
//! never accepted as complete.

mod response_pattern;
mod response_verifier;
mod standin_body;

pub use {
    response_pattern::ResponsePattern,
    response_verifier::{ResponseCheck, ResponseVerifier},
    standin_body::StandinBody,
};
