use {
    serde::{Deserialize, Serialize},
    std::fmt::{self, Display},
};

/// An invalid value and the path of its field, such as `classes[2].weight`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FieldError {
    pub field: String,
    pub message: String,
}

impl FieldError {
    pub fn new(field: impl Into<String>, message: impl Display) -> Self {
        Self {
            field: field.into(),
            message: message.to_string(),
        }
    }

    /// Returns the same error with the field path nested in the field `outer`.
    #[must_use]
    pub fn within(self, outer: &str) -> Self {
        Self {
            field: format!("{outer}.{}", self.field),
            ..self
        }
    }
}

impl Display for FieldError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.field, self.message)
    }
}
