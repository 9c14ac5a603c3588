use {
    http::{HeaderMap, HeaderValue},
    serde::{Deserialize, Serialize},
};

/// Header with the target process that is leaving: on responses from the sidecar beside it, and on
/// calls from sidecars that have been told of it, in case that sidecar has restarted since.
pub(crate) const LEAVING_HEADER: &str = "bt-leaving";

/// Maximum length of the header value, in bytes.
const MAX_HEADER_BYTES: usize = 256;
const SEPARATOR: char = ';';

/// One process of a target; a later process may have the same id.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetIncarnation {
    pub instance: String,
    /// Start time in milliseconds since the Unix epoch.
    pub started_ms: u64,
}

impl TargetIncarnation {
    /// Sets the header that says that this process is leaving.
    pub(crate) fn set_leaving_header(&self, headers: &mut HeaderMap) {
        let text = format!("{}{SEPARATOR}{}", self.started_ms, self.instance);
        // An instance id that is not valid in a header could not have been sent to the target.
        if let Ok(mut value) = HeaderValue::from_str(&text) {
            value.set_sensitive(true);
            headers.insert(LEAVING_HEADER, value);
        }
    }

    /// Removes and parses the header; `None` if it is absent or malformed.
    pub(crate) fn take_leaving_header(headers: &mut HeaderMap) -> Option<Self> {
        let value = headers.remove(LEAVING_HEADER)?;
        let text = value.to_str().ok();
        let text = text.filter(|text| text.len() <= MAX_HEADER_BYTES)?;
        let (started_ms, instance) = text.split_once(SEPARATOR)?;
        Some(Self {
            instance: instance.into(),
            started_ms: started_ms.parse().ok()?,
        })
    }
}
