use {
    super::PolicyDocument,
    crate::context::{HexId, deserialize_text},
    serde::{Deserialize, Deserializer, Serialize, Serializer},
    std::fmt,
};

/// Digest of a policy document.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PolicyHash(u64);

impl PolicyHash {
    #[must_use]
    pub const fn from_u64(value: u64) -> Self {
        Self(value)
    }

    #[must_use]
    pub const fn as_u64(self) -> u64 {
        self.0
    }

    /// Digest of the document in its serialized form.
    #[must_use]
    pub fn of(document: &PolicyDocument) -> Self {
        let text = serde_json::to_vec(document).unwrap_or_default();
        let digest = blake3::hash(&text);
        let mut prefix = [0; 8];
        prefix.copy_from_slice(&digest.as_bytes()[..8]);
        Self(u64::from_be_bytes(prefix))
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

impl fmt::Display for PolicyHash {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

impl HexId for PolicyHash {
    const EXPECTED: &'static str = "16 hexadecimal digits";

    fn parse_digits(text: &str) -> Option<Self> {
        Self::parse(text)
    }

    fn from_number(value: u64) -> Self {
        Self(value)
    }
}

/// Hexadecimal digits in text formats, a number in binary ones.
impl Serialize for PolicyHash {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            serializer.collect_str(self)
        } else {
            self.0.serialize(serializer)
        }
    }
}

impl<'de> Deserialize<'de> for PolicyHash {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if deserializer.is_human_readable() {
            deserialize_text(deserializer)
        } else {
            u64::deserialize(deserializer).map(Self)
        }
    }
}
