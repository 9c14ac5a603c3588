use {
    super::RequestId,
    serde::{Deserialize, Serialize},
};

/// Priority of a call; lower values are shed first.
///
/// Priorities are ordered by class rank, then by a hash of the request id, so that all services
/// shed the same requests first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct CallPriority(u32);

impl CallPriority {
    /// Number of low bits that contain the hash of the request id; the class rank is above them.
    pub(crate) const HASH_BITS: u32 = 16;
    pub const LOWEST: Self = Self(0);
    /// Lowest priority that a call can have, since class ranks start from 1.
    pub const LOWEST_CALL: Self = Self(1 << Self::HASH_BITS);
    pub const HIGHEST: Self = Self((1 << (Self::HASH_BITS + 8)) - 1);

    #[must_use]
    pub fn new(rank: u8, request: RequestId) -> Self {
        let hash = u32::from(request.shedding_hash());
        Self(u32::from(rank) << Self::HASH_BITS | hash)
    }

    /// Creates a priority from its numeric value; larger values are clamped to [`Self::HIGHEST`].
    #[must_use]
    pub const fn from_u32(value: u32) -> Self {
        if value > Self::HIGHEST.0 {
            Self::HIGHEST
        } else {
            Self(value)
        }
    }

    #[must_use]
    pub const fn as_u32(self) -> u32 {
        self.0
    }

    /// Class rank; a higher rank is more important.
    #[must_use]
    pub const fn rank(self) -> u8 {
        (self.0 >> Self::HASH_BITS).to_le_bytes()[0]
    }

    /// Midpoint of the two priorities, rounded down.
    #[must_use]
    pub const fn midpoint(self, other: Self) -> Self {
        Self(u32::midpoint(self.0, other.0))
    }

    /// The priority multiplied by `share`, which is clamped to the range from 0 to 1.
    #[must_use]
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn scaled(self, share: f64) -> Self {
        Self((f64::from(self.0) * share.clamp(0.0, 1.0)) as u32)
    }
}
