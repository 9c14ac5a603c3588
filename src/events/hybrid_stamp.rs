use {
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// Header that carries the stamp of the sender between daemons.
pub const STAMP_HEADER: &str = "banyantrestle-stamp";
/// Bytes of the longest encoded stamp.
pub const MAX_STAMP_LENGTH: usize = 21;

const FIELD_SEPARATOR: char = '.';

/// Reading of a hybrid logical clock; stamps of one process are strictly increasing.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct HybridStamp {
    /// Milliseconds of the Unix epoch.
    pub wall_ms: u64,
    /// Order of the stamps within one millisecond.
    pub count: u16,
}

impl HybridStamp {
    /// Hexadecimal wall time and count, for a header.
    #[must_use]
    pub fn encode(self) -> String {
        format!("{:x}{FIELD_SEPARATOR}{:x}", self.wall_ms, self.count)
    }

    /// Reads an encoded stamp; `None` if it is malformed.
    #[must_use]
    pub fn decode(text: &str) -> Option<Self> {
        if text.len() > MAX_STAMP_LENGTH {
            return None;
        }
        let (wall, count) = text.split_once(FIELD_SEPARATOR)?;
        let is_hex = |part: &str| part.bytes().all(|byte| byte.is_ascii_hexdigit());
        if !is_hex(wall) || !is_hex(count) {
            return None;
        }
        Some(Self {
            wall_ms: u64::from_str_radix(wall, 16).ok()?,
            count: u16::from_str_radix(count, 16).ok()?,
        })
    }

    /// The next stamp in the same millisecond, or in the next one once the count is used up.
    #[must_use]
    pub const fn next(self) -> Self {
        match self.count.checked_add(1) {
            Some(count) => Self { count, ..self },
            None => Self {
                wall_ms: self.wall_ms.saturating_add(1),
                count: 0,
            },
        }
    }
}

impl fmt::Display for HybridStamp {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{:04x}", self.wall_ms, self.count)
    }
}
