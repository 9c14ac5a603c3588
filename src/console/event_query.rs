use {crate::events::MAX_PAGE_EVENTS, form_urlencoded::parse, thiserror::Error};

/// Maximum number of events in a response if the query sets no limit.
const DEFAULT_LIMIT: usize = 1_000;

/// Query parameters of the event list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct EventQuery {
    /// Position in the log after which events are returned.
    pub since: u64,
    pub limit: usize,
}

/// A query parameter is unknown or not a number.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub(super) enum EventQueryError {
    #[error("unknown parameter; the parameters are since and limit")]
    UnknownParameter,
    #[error("{0} is not a number")]
    InvalidNumber(&'static str),
}

impl EventQuery {
    pub(super) fn parse(query: &str) -> Result<Self, EventQueryError> {
        let mut page_query = Self {
            since: 0,
            limit: DEFAULT_LIMIT,
        };
        for (name, value) in parse(query.as_bytes()) {
            match name.as_ref() {
                "since" => page_query.since = parse_number(&value, "since")?,
                "limit" => page_query.limit = parse_number(&value, "limit")?,
                _ => return Err(EventQueryError::UnknownParameter),
            }
        }
        page_query.limit = page_query.limit.min(MAX_PAGE_EVENTS);
        Ok(page_query)
    }
}

fn parse_number<N: std::str::FromStr>(
    value: &str,
    name: &'static str,
) -> Result<N, EventQueryError> {
    value
        .parse()
        .map_err(|_| EventQueryError::InvalidNumber(name))
}
