use {
    super::hex_id::{HexId, deserialize_text},
    serde::{Deserialize, Deserializer, Serialize, Serializer},
    std::fmt,
};

/// Identity of one call of a request, unique within it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(u64);

impl CallId {
    #[must_use]
    pub const fn from_u64(value: u64) -> Self {
        Self(value)
    }

    /// Parses 16 hexadecimal digits.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let is_exact = text.len() == 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if !is_exact {
            return None;
        }
        u64::from_str_radix(text, 16).ok().map(Self)
    }
}

impl fmt::Display for CallId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

impl HexId for CallId {
    const EXPECTED: &'static str = "16 hexadecimal digits";

    fn parse_digits(text: &str) -> Option<Self> {
        Self::parse(text)
    }

    fn from_number(value: u64) -> Self {
        Self(value)
    }
}

/// Hexadecimal digits in text formats, a number in binary ones.
impl Serialize for CallId {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            serializer.collect_str(self)
        } else {
            self.0.serialize(serializer)
        }
    }
}

impl<'de> Deserialize<'de> for CallId {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if deserializer.is_human_readable() {
            deserialize_text(deserializer)
        } else {
            u64::deserialize(deserializer).map(Self)
        }
    }
}
