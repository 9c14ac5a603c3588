//! Timestamps of the hybrid logical clock.

use {
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// Header with the stamp of the sender in messages between daemons.
pub const STAMP_HEADER: &str = "banyantrestle-stamp";
/// Maximum length of an encoded stamp in bytes.
pub const MAX_STAMP_LENGTH: usize = 21;

const FIELD_SEPARATOR: char = '.';

/// Timestamp of a hybrid logical clock. The stamps of one process increase strictly.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct HybridStamp {
    /// Wall time in ms since the Unix epoch.
    pub wall_ms: u64,
    /// Logical counter that orders the stamps within one millisecond.
    pub count: u16,
}

impl HybridStamp {
    /// Encodes wall time and count in hexadecimal for [`STAMP_HEADER`].
    #[must_use]
    pub fn encode(self) -> String {
        format!("{:x}{FIELD_SEPARATOR}{:x}", self.wall_ms, self.count)
    }

    /// Decodes a stamp; `None` if it is malformed.
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

    /// Next stamp in the same millisecond, or in the following one if the count would overflow.
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
