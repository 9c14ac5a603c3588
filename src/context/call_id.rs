use {
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// Identity of one call of a request, unique within it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
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
