use {
    rapidhash::v3::rapidhash_v3,
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// Identity of one user request, the same at every hop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
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
