use {
    serde::{Deserialize, Serialize},
    std::{borrow::Cow, fmt},
};

/// Characters of the longest reason that is kept.
pub const MAX_REASON_LENGTH: usize = 200;

/// Why something happened, in a short printable phrase.
///
/// Text from other processes is cut to [`MAX_REASON_LENGTH`] and its control characters are
/// replaced, so that it can be printed on a terminal.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(from = "String", into = "String")]
pub struct EventReason(Cow<'static, str>);

impl EventReason {
    /// A reason known at compile time; costs no allocation.
    #[must_use]
    pub const fn from_static(text: &'static str) -> Self {
        Self(Cow::Borrowed(text))
    }

    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl From<&'static str> for EventReason {
    fn from(text: &'static str) -> Self {
        Self::from_static(text)
    }
}

impl From<String> for EventReason {
    fn from(text: String) -> Self {
        let replace_control_character = |character: char| {
            if character.is_control() {
                char::REPLACEMENT_CHARACTER
            } else {
                character
            }
        };
        let text = text
            .chars()
            .take(MAX_REASON_LENGTH)
            .map(replace_control_character);
        Self(Cow::Owned(text.collect()))
    }
}

impl From<EventReason> for String {
    fn from(reason: EventReason) -> Self {
        reason.0.into_owned()
    }
}

impl fmt::Display for EventReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}
