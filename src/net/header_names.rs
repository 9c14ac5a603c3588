use http::{
    HeaderMap, HeaderValue, Method, StatusCode,
    header::{CONNECTION, CONTENT_LENGTH, HeaderName, TE, TRAILER, TRANSFER_ENCODING, UPGRADE},
};

/// Media type of problem details (RFC 9457).
pub const PROBLEM_TYPE: &str = "application/problem+json";

/// Load of the guard that sent the response.
pub(crate) const LOAD_HEADER: &str = "banyantrestle-load";
/// Authentication tag of a call between daemons.
pub(crate) const TAG_HEADER: &str = "banyantrestle-tag";
/// Id of the user request, on its final response.
pub(crate) const REQUEST_HEADER: &str = "banyantrestle-request";
/// Why a call was refused.
pub(crate) const REASON_HEADER: &str = "banyantrestle-reason";
/// Marks a call that the router treats as non-idempotent, regardless of the policy at the
/// receiving guard.
pub(crate) const CLAIM_HEADER: &str = "banyantrestle-claim";

const DAEMON_HEADER_PREFIX: &str = "banyantrestle-";
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");
const HOP_BY_HOP_HEADERS: [HeaderName; 7] = [
    CONNECTION,
    KEEP_ALIVE,
    PROXY_CONNECTION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Removes hop-by-hop headers (RFC 9110, section 7.6.1).
pub(crate) fn remove_hop_by_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in HOP_BY_HOP_HEADERS {
        headers.remove(name);
    }
}

/// Removes all headers that only daemons may set.
pub(crate) fn remove_daemon_headers(headers: &mut HeaderMap) {
    let own: Vec<HeaderName> = headers
        .keys()
        .filter(|name| name.as_str().starts_with(DAEMON_HEADER_PREFIX))
        .cloned()
        .collect();
    for name in own {
        headers.remove(name);
    }
}

/// Removes hop-by-hop headers and headers that only daemons may set from a response.
pub(crate) fn clean_response_headers(headers: &mut HeaderMap) {
    remove_hop_by_hop_headers(headers);
    remove_daemon_headers(headers);
}

/// Removes `content-length`, so that it is set from the body that is sent. It stays on responses
/// that have no body by definition.
pub(crate) fn remove_content_length(method: &Method, status: StatusCode, headers: &mut HeaderMap) {
    let has_no_body = method == Method::HEAD || status == StatusCode::NOT_MODIFIED;
    if !has_no_body {
        headers.remove(CONTENT_LENGTH);
    }
}

/// Sets a header; a value that is not valid in a header is ignored.
pub(crate) fn set_header(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}
