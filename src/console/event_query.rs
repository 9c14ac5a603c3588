use {crate::events::MAX_PAGE_EVENTS, form_urlencoded::parse, thiserror::Error};

const DEFAULT_LIMIT: usize = 1_000;

/// Which page of events is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct EventQuery {
    /// Events after this position.
    pub since: u64,
    pub limit: usize,
}

/// A parameter that is unknown or no number.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub(super) enum EventQueryError {
    #[error("parameters are since and limit")]
    Unknown,
    #[error("{0} is not a number")]
    NotNumber(&'static str),
}

impl EventQuery {
    pub(super) fn parse(query: &str) -> Result<Self, EventQueryError> {
        let mut parsed = Self {
            since: 0,
            limit: DEFAULT_LIMIT,
        };
        for (name, value) in parse(query.as_bytes()) {
            match name.as_ref() {
                "since" => parsed.since = number(&value, "since")?,
                "limit" => parsed.limit = number(&value, "limit")?,
                _ => return Err(EventQueryError::Unknown),
            }
        }
        parsed.limit = parsed.limit.min(MAX_PAGE_EVENTS);
        Ok(parsed)
    }
}

fn number<N: std::str::FromStr>(value: &str, name: &'static str) -> Result<N, EventQueryError> {
    value.parse().map_err(|_| EventQueryError::NotNumber(name))
}
