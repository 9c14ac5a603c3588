use {
    super::EventRecord,
    crate::membership::MemberId,
    serde::{Deserialize, Serialize},
    thiserror::Error,
};

/// Events of the largest page.
pub const MAX_PAGE_EVENTS: usize = 10_000;
/// Bytes of the largest page that is read.
pub const MAX_PAGE_BYTES: usize = 8 * 1024 * 1024;

/// A run of events from the log of one process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EventPage {
    pub process: MemberId,
    /// Events after the asked position that the log no longer holds.
    pub dropped: u64,
    /// Position to ask from for the page that follows.
    pub next: u64,
    pub events: Vec<EventRecord>,
}

/// Why a page was not read.
#[derive(Debug, Error)]
pub enum PageError {
    #[error("{0} bytes are over the bound of {MAX_PAGE_BYTES}")]
    TooLong(usize),
    #[error("{0} events are over the bound of {MAX_PAGE_EVENTS}")]
    TooMany(usize),
    #[error("not a page of events: {0}")]
    Malformed(#[from] serde_json::Error),
}

impl EventPage {
    /// Reads a page from another process.
    ///
    /// # Errors
    /// The page is malformed or out of its bounds.
    pub fn decode(json: &[u8]) -> Result<Self, PageError> {
        if json.len() > MAX_PAGE_BYTES {
            return Err(PageError::TooLong(json.len()));
        }
        let page: Self = serde_json::from_slice(json)?;
        if page.events.len() > MAX_PAGE_EVENTS {
            return Err(PageError::TooMany(page.events.len()));
        }
        Ok(page)
    }
}
