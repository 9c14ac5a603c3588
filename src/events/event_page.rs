//! Pages of events that daemons serve to readers.

use {
    super::EventRecord,
    crate::membership::MemberId,
    serde::{Deserialize, Serialize},
    thiserror::Error,
};

/// Maximum number of events in a page.
pub const MAX_PAGE_EVENTS: usize = 10_000;
/// Maximum size of a page that is decoded, in bytes.
pub const MAX_PAGE_BYTES: usize = 8 * 1024 * 1024;

/// Consecutive events from the log of one process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EventPage {
    pub process: MemberId,
    /// Number of events after the requested position that the log has dropped.
    pub dropped: u64,
    /// Position from which the next page is requested.
    pub next: u64,
    pub events: Vec<EventRecord>,
}

/// Reason why a page was rejected.
#[derive(Debug, Error)]
pub enum PageError {
    #[error("{0} bytes exceed the limit of {MAX_PAGE_BYTES}")]
    TooLong(usize),
    #[error("{0} events exceed the limit of {MAX_PAGE_EVENTS}")]
    TooManyEvents(usize),
    #[error("not a page of events: {0}")]
    Malformed(#[from] serde_json::Error),
}

impl EventPage {
    /// Decodes a page from another process.
    ///
    /// # Errors
    /// The page is malformed or exceeds a limit.
    pub fn decode(json: &[u8]) -> Result<Self, PageError> {
        if json.len() > MAX_PAGE_BYTES {
            return Err(PageError::TooLong(json.len()));
        }
        let page: Self = serde_json::from_slice(json)?;
        if page.events.len() > MAX_PAGE_EVENTS {
            return Err(PageError::TooManyEvents(page.events.len()));
        }
        Ok(page)
    }
}
