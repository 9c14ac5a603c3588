use {
    serde::{Deserialize, Serialize},
    std::{fmt, sync::Arc},
    thiserror::Error,
};

const MAX_NAME_BYTES: usize = 64;

/// Error for a name that is empty, longer than 64 bytes, or contains a character outside
/// `a-z 0-9 - _`.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("name {0:?} must be 1 to {MAX_NAME_BYTES} characters from a-z, 0-9, - and _")]
pub struct NameError(String);

impl NameError {
    pub(super) fn new(text: &str) -> Self {
        Self(text.chars().take(MAX_NAME_BYTES).collect())
    }
}

pub(super) fn is_valid_name(text: &str) -> bool {
    let is_name_byte = |byte: u8| matches!(byte, b'a'..=b'z' | b'0'..=b'9' | b'-' | b'_');
    (1..=MAX_NAME_BYTES).contains(&text.len()) && text.bytes().all(is_name_byte)
}

/// Name of a service, shared by all its targets.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct ServiceName(Arc<str>);

impl ServiceName {
    /// # Errors
    /// The text is empty, too long, or contains a character outside `a-z 0-9 - _`.
    pub fn new(text: &str) -> Result<Self, NameError> {
        if is_valid_name(text) {
            Ok(Self(text.into()))
        } else {
            Err(NameError::new(text))
        }
    }

    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl TryFrom<String> for ServiceName {
    type Error = NameError;

    fn try_from(text: String) -> Result<Self, NameError> {
        Self::new(&text)
    }
}

impl From<ServiceName> for String {
    fn from(name: ServiceName) -> Self {
        name.0.as_ref().into()
    }
}

impl fmt::Display for ServiceName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}
