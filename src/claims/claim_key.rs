use {
    super::IdempotencyKey,
    crate::context::ServiceName,
    serde::{Deserialize, Serialize},
    std::fmt::{self, Write},
};

/// Separates the service from the digest. It does not occur in service names.
const SERVICE_SEPARATOR: char = '/';
/// Length of the digest in a row key, in hexadecimal digits.
const DIGEST_DIGITS: usize = 64;

/// Identifies a non-idempotent call of one service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimKey {
    pub service: ServiceName,
    pub key: IdempotencyKey,
}

impl ClaimKey {
    /// Key of the claim's row. It consists of the service and a digest of the idempotency key, so
    /// that it has only the characters `a-z 0-9 - _ /` whatever the caller sent.
    #[must_use]
    pub fn row_key(&self) -> String {
        let digest = blake3::hash(self.key.as_str().as_bytes());
        let mut text = row_prefix(&self.service);
        text.push_str(&digest.to_hex());
        text
    }
}

/// Prefix of the row keys of a service.
#[must_use]
pub fn row_prefix(service: &ServiceName) -> String {
    // `ClaimKey::row_key` appends the digest.
    let capacity = service.as_str().len() + SERVICE_SEPARATOR.len_utf8() + DIGEST_DIGITS;
    let mut text = String::with_capacity(capacity);
    // Writing to a string cannot fail.
    let _ = write!(text, "{service}{SERVICE_SEPARATOR}");
    text
}

impl fmt::Display for ClaimKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.service, self.key)
    }
}
