use {
    serde::{Deserialize, Serialize},
    std::{fmt, ops::RangeInclusive, sync::Arc},
    thiserror::Error,
};

/// Request header that identifies a non-idempotent call across its retries.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Length of the longest idempotency key, in bytes.
pub const MAX_KEY_BYTES: usize = 128;

const PRINTABLE_ASCII: RangeInclusive<u8> = b' '..=b'~';

/// Error for an idempotency key that is empty, too long, or not printable ASCII.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the idempotency key is not 1 to {MAX_KEY_BYTES} bytes of printable ASCII")]
pub struct KeyError;

/// Identifier that a caller gives a non-idempotent call and all its retries.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct IdempotencyKey(Arc<str>);

impl IdempotencyKey {
    /// Parses a header value, ignoring leading and trailing spaces.
    ///
    /// # Errors
    /// The key is empty, too long, or not printable ASCII.
    pub fn new(text: &str) -> Result<Self, KeyError> {
        let text = text.trim_matches(' ');
        let is_printable = text.bytes().all(|byte| PRINTABLE_ASCII.contains(&byte));
        if (1..=MAX_KEY_BYTES).contains(&text.len()) && is_printable {
            Ok(Self(text.into()))
        } else {
            Err(KeyError)
        }
    }

    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl TryFrom<String> for IdempotencyKey {
    type Error = KeyError;

    fn try_from(text: String) -> Result<Self, KeyError> {
        Self::new(&text)
    }
}

impl From<IdempotencyKey> for String {
    fn from(key: IdempotencyKey) -> Self {
        key.0.as_ref().into()
    }
}

impl fmt::Display for IdempotencyKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}
