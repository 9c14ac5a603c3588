//! Reasons in events.

use {
    serde::{Deserialize, Serialize},
    std::{borrow::Cow, fmt},
};

/// Maximum length of a reason in characters.
pub const MAX_REASON_LENGTH: usize = 200;

/// Short printable phrase that states the reason of an event.
///
/// Text from other processes is truncated to [`MAX_REASON_LENGTH`] characters and its control
/// characters are replaced, so that it is safe to print on a terminal.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(from = "String", into = "String")]
pub struct EventReason(Cow<'static, str>);

impl EventReason {
    /// Creates a reason from a static text without an allocation.
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
