use {
    super::HeaderNames,
    http::{HeaderMap, HeaderName},
};

/// Maximum rate limit that is accepted, in requests per second.
const MAX_RATE_LIMIT: f64 = 1_000_000.0;
/// Value of the header with which a target says that it is leaving.
const LEAVING_VALUE: &str = "1";

/// What a response says of its target's rate limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RateStatement {
    /// The target names no limit.
    Unlimited,
    /// Requests per second that the target takes from all callers together; 0 or more.
    Limit(f64),
    /// The value is not a limit; the previous statement stays in force.
    Malformed,
}

/// What a response says of the state of its target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ResponseNotice {
    pub rate: RateStatement,
    /// The target shuts down and must get no further calls.
    pub is_leaving: bool,
    /// The header that says so has a value that is not known.
    pub is_leaving_malformed: bool,
}

impl ResponseNotice {
    #[must_use]
    pub fn read(headers: &HeaderMap, names: &HeaderNames) -> Self {
        let leaving = HeaderText::read(headers, &names.leaving);
        let is_leaving = leaving == HeaderText::Text(LEAVING_VALUE);
        Self {
            rate: read_rate(headers, &names.rate_limit),
            is_leaving,
            is_leaving_malformed: !is_leaving && leaving != HeaderText::Absent,
        }
    }
}

fn read_rate(headers: &HeaderMap, name: &HeaderName) -> RateStatement {
    match HeaderText::read(headers, name) {
        HeaderText::Absent => RateStatement::Unlimited,
        HeaderText::Text(text) => {
            parse_rate(text).map_or(RateStatement::Malformed, RateStatement::Limit)
        }
        HeaderText::Malformed => RateStatement::Malformed,
    }
}

/// Parses a decimal number without sign or exponent; `None` if it is out of bounds.
fn parse_rate(text: &str) -> Option<f64> {
    let is_decimal = text
        .bytes()
        .all(|byte| byte.is_ascii_digit() || byte == b'.');
    let rate: f64 = text.parse().ok().filter(|_| is_decimal)?;
    (rate <= MAX_RATE_LIMIT).then_some(rate)
}

/// Value of a header that may occur once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HeaderText<'a> {
    Absent,
    Text(&'a str),
    /// Not text, or more than one value.
    Malformed,
}

impl<'a> HeaderText<'a> {
    fn read(headers: &'a HeaderMap, name: &HeaderName) -> Self {
        let mut values = headers.get_all(name).iter();
        match (values.next(), values.next()) {
            (None, _) => Self::Absent,
            (Some(value), None) => match value.to_str() {
                Ok(text) => Self::Text(text.trim()),
                Err(_) => Self::Malformed,
            },
            (Some(_), Some(_)) => Self::Malformed,
        }
    }
}
