use {
    super::service_name::{NameError, is_valid_name},
    serde::{Deserialize, Serialize},
    std::{fmt, sync::Arc},
};

/// Name of a request class.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct ClassName(Arc<str>);

impl ClassName {
    /// # Errors
    /// The text is empty, too long, or contains a character outside `a-z 0-9 - _`.
    pub fn new(text: &str) -> Result<Self, NameError> {
        if is_valid_name(text) {
            Ok(Self(text.into()))
        } else {
            Err(NameError::new(text))
        }
    }

    /// Creates a name from a literal, which must be valid.
    pub(crate) fn from_static(text: &'static str) -> Self {
        debug_assert!(is_valid_name(text));
        Self(text.into())
    }

    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl TryFrom<String> for ClassName {
    type Error = NameError;

    fn try_from(text: String) -> Result<Self, NameError> {
        Self::new(&text)
    }
}

impl From<ClassName> for String {
    fn from(name: ClassName) -> Self {
        name.0.as_ref().into()
    }
}

impl fmt::Display for ClassName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}
