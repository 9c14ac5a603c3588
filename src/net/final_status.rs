use {http::Response, std::ops::RangeInclusive, thiserror::Error};

/// Statuses of final responses (RFC 9110, section 15). Lower ones belong to interim responses, and no
/// caller needs to know a higher one.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// A response that does not end the exchange, or whose status is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("status {0} is not one of a final response")]
pub(crate) struct InvalidStatus(u16);

/// Passes a final response on.
pub(crate) fn check_final<B>(response: Response<B>) -> Result<Response<B>, InvalidStatus> {
    let status = response.status().as_u16();
    if FINAL_STATUSES.contains(&status) {
        Ok(response)
    } else {
        Err(InvalidStatus(status))
    }
}
