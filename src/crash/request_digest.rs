use {
    serde::{Deserialize, Serialize},
    std::{fmt, str::FromStr},
    thiserror::Error,
};

/// Length of a request digest, in bytes.
pub(super) const DIGEST_BYTES: usize = 16;

/// Keyed hash of a request; equal requests of one caller have equal digests.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestDigest(pub(super) [u8; DIGEST_BYTES]);

/// Text that is not a request digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("a request digest has {} hexadecimal digits", 2 * DIGEST_BYTES)]
pub struct InvalidDigest;

impl RequestDigest {
    /// The first eight bytes, for tables that tolerate collisions.
    pub(crate) fn prefix(self) -> u64 {
        let [first, ..] = self.0.as_chunks::<8>().0 else {
            return 0;
        };
        u64::from_le_bytes(*first)
    }
}

impl fmt::Display for RequestDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut bytes = self.0.iter();
        bytes.try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

impl fmt::Debug for RequestDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, formatter)
    }
}

impl FromStr for RequestDigest {
    type Err = InvalidDigest;

    fn from_str(text: &str) -> Result<Self, InvalidDigest> {
        if text.len() != 2 * DIGEST_BYTES || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Err(InvalidDigest);
        }
        let number = u128::from_str_radix(text, 16).map_err(|_| InvalidDigest)?;
        Ok(Self(number.to_be_bytes()))
    }
}
