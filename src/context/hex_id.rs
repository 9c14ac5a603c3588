use {
    serde::{
        Deserializer,
        de::{Error, Unexpected, Visitor},
    },
    std::{fmt, marker::PhantomData},
    thiserror::Error,
};

/// A text that is no identity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("not {expected}")]
pub struct IdError {
    expected: &'static str,
}

impl IdError {
    pub(super) const fn new<I: HexId>() -> Self {
        Self {
            expected: I::EXPECTED,
        }
    }
}

/// An identity that text formats hold as hexadecimal digits.
pub(crate) trait HexId: Sized {
    const EXPECTED: &'static str;

    fn parse_digits(text: &str) -> Option<Self>;

    fn from_number(value: u64) -> Self;
}

/// Reads digits, or a plain number as a recorded trace may hold it.
pub(crate) fn deserialize_text<'de, I, D>(deserializer: D) -> Result<I, D::Error>
where
    I: HexId,
    D: Deserializer<'de>,
{
    deserializer.deserialize_any(HexVisitor(PhantomData))
}

struct HexVisitor<I>(PhantomData<I>);

impl<I: HexId> Visitor<'_> for HexVisitor<I> {
    type Value = I;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(I::EXPECTED)
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<I, E> {
        I::parse_digits(text).ok_or_else(|| E::invalid_value(Unexpected::Other("text"), &self))
    }

    fn visit_u64<E: Error>(self, value: u64) -> Result<I, E> {
        Ok(I::from_number(value))
    }
}
