use {
    super::hex_id::{HexId, IdError, deserialize_text},
    rapidhash::v3::rapidhash_v3,
    serde::{Deserialize, Deserializer, Serialize, Serializer},
    std::{fmt, str::FromStr},
};

/// Identity of one user request, the same at every hop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(u128);

impl RequestId {
    #[must_use]
    pub const fn from_u128(value: u128) -> Self {
        Self(value)
    }

    #[must_use]
    pub const fn as_u128(self) -> u128 {
        self.0
    }

    /// Parses 32 hexadecimal digits.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let is_exact = text.len() == 32 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if !is_exact {
            return None;
        }
        u128::from_str_radix(text, 16).ok().map(Self)
    }

    /// Position of the request in the shedding order of its class.
    #[must_use]
    pub fn shedding_hash(self) -> u16 {
        let hash = rapidhash_v3(&self.0.to_le_bytes());
        (hash >> 48) as u16
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}

impl FromStr for RequestId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        Self::parse(text).ok_or(IdError::new::<Self>())
    }
}

impl HexId for RequestId {
    const EXPECTED: &'static str = "32 hexadecimal digits";

    fn parse_digits(text: &str) -> Option<Self> {
        Self::parse(text)
    }

    fn from_number(value: u64) -> Self {
        Self(u128::from(value))
    }
}

/// Hexadecimal digits in text formats, a number in binary ones.
impl Serialize for RequestId {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            serializer.collect_str(self)
        } else {
            self.0.serialize(serializer)
        }
    }
}

impl<'de> Deserialize<'de> for RequestId {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if deserializer.is_human_readable() {
            deserialize_text(deserializer)
        } else {
            u128::deserialize(deserializer).map(Self)
        }
    }
}
