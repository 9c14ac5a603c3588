use {
    serde::{
        Deserializer,
        de::{Error, Unexpected, Visitor},
    },
    std::{fmt, marker::PhantomData},
    thiserror::Error,
};

/// Error for a text that is not a valid id.
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

/// An id that text formats represent as hexadecimal digits.
pub(crate) trait HexId: Sized {
    /// Description of a valid text, for error messages.
    const EXPECTED: &'static str;

    fn parse_digits(text: &str) -> Option<Self>;

    fn from_number(value: u64) -> Self;
}

/// Parses exactly `digits` hexadecimal digits.
pub(crate) fn parse_hex(text: &str, digits: usize) -> Option<u128> {
    let is_exact = text.len() == digits && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    if !is_exact {
        return None;
    }
    u128::from_str_radix(text, 16).ok()
}

/// Implements parsing, `Display` and serde for an id that wraps a number. Text formats represent
/// the id as hexadecimal digits, binary formats as the number.
macro_rules! impl_hex_id {
    ($name:ident, $number:ty, $digits:literal) => {
        impl $name {
            #[doc = concat!("Parses ", stringify!($digits), " hexadecimal digits.")]
            #[must_use]
            pub fn parse(text: &str) -> Option<Self> {
                let number = $crate::context::parse_hex(text, $digits)?;
                <$number>::try_from(number).ok().map(Self)
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                write!(formatter, "{:0width$x}", self.0, width = $digits)
            }
        }

        impl $crate::context::HexId for $name {
            const EXPECTED: &'static str = concat!(stringify!($digits), " hexadecimal digits");

            fn parse_digits(text: &str) -> Option<Self> {
                Self::parse(text)
            }

            fn from_number(value: u64) -> Self {
                Self(value.into())
            }
        }

        impl serde::Serialize for $name {
            fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                if serializer.is_human_readable() {
                    serializer.collect_str(self)
                } else {
                    self.0.serialize(serializer)
                }
            }
        }

        impl<'de> serde::Deserialize<'de> for $name {
            fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                if deserializer.is_human_readable() {
                    $crate::context::deserialize_hex_or_number(deserializer)
                } else {
                    <$number>::deserialize(deserializer).map(Self)
                }
            }
        }
    };
}

pub(crate) use impl_hex_id;

/// Deserializes hexadecimal digits, or a plain number as recorded traces may contain.
pub(crate) fn deserialize_hex_or_number<'de, I, D>(deserializer: D) -> Result<I, D::Error>
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
