use {
    crate::membership::MemberId,
    rand::{Rng, RngExt},
    serde::{Deserialize, Serialize},
    std::{fmt, sync::Arc},
};

/// Unique identifier of one attempt to claim a key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct WriteId(Arc<str>);

impl WriteId {
    /// Generates an id. The member makes the ids of two processes differ even if they draw the same
    /// number.
    #[must_use]
    pub fn generate(member: MemberId, rng: &mut impl Rng) -> Self {
        let number: u128 = rng.random();
        Self(format!("{member}-{number:032x}").into())
    }

    /// Wraps an id that was read from a row.
    #[must_use]
    pub fn from_row(text: &str) -> Self {
        Self(text.into())
    }

    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for WriteId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}
