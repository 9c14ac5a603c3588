use http::{
    HeaderMap, HeaderValue, Method, StatusCode,
    header::{CONNECTION, CONTENT_LENGTH, HeaderName, TE, TRAILER, TRANSFER_ENCODING, UPGRADE},
};

/// Media type of RFC 9457.
pub const PROBLEM_TYPE: &str = "application/problem+json";

/// Load of the answering guard.
pub(crate) const LOAD_HEADER: &str = "banyantrestle-load";
/// Authentication tag of a call between daemons.
pub(crate) const TAG_HEADER: &str = "banyantrestle-tag";
/// Id of the user request, on its final answer.
pub(crate) const REQUEST_HEADER: &str = "banyantrestle-request";
/// Why a call was refused.
pub(crate) const REASON_HEADER: &str = "banyantrestle-reason";
/// The router holds the call for non-idempotent, whatever the policy of the guard says.
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

/// Removes what concerns one connection only (RFC 9110, section 7.6.1).
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

/// Removes every header that only daemons may set.
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

/// Removes from an answer what concerns one connection only or only daemons may set.
pub(crate) fn clean_response_headers(headers: &mut HeaderMap) {
    remove_hop_by_hop_headers(headers);
    remove_daemon_headers(headers);
}

/// An answer's length is that of the body that is sent, unless the answer has no body by rule.
pub(crate) fn remove_content_length(method: &Method, status: StatusCode, headers: &mut HeaderMap) {
    let has_no_body = method == Method::HEAD || status == StatusCode::NOT_MODIFIED;
    if !has_no_body {
        headers.remove(CONTENT_LENGTH);
    }
}

/// Sets a header; a value that no header can hold is left out.
pub(crate) fn set_header(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}
