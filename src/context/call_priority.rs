use {
    super::RequestId,
    serde::{Deserialize, Serialize},
};

const HASH_BITS: u32 = 16;

/// Shedding order of a call; the higher value is served longer.
///
/// The rank of the class leads, then a hash of the request id, so that every service sheds the
/// same requests first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct CallPriority(u32);

impl CallPriority {
    pub const LOWEST: Self = Self(0);
    /// Lowest that a call can have: ranks start from 1.
    pub const LOWEST_CALL: Self = Self(1 << HASH_BITS);
    pub const HIGHEST: Self = Self((1 << (HASH_BITS + 8)) - 1);

    #[must_use]
    pub fn new(rank: u8, request: RequestId) -> Self {
        let hash = u32::from(request.shedding_hash());
        Self(u32::from(rank) << HASH_BITS | hash)
    }

    /// Restores a value from the wire; out of range is cut to the highest.
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

    /// Rank of the class, higher matters more.
    #[must_use]
    pub const fn rank(self) -> u8 {
        (self.0 >> HASH_BITS).to_le_bytes()[0]
    }

    /// Half way between the two.
    #[must_use]
    pub const fn midpoint(self, other: Self) -> Self {
        Self(u32::midpoint(self.0, other.0))
    }

    /// `share` of the way from the lowest, from 0 to 1.
    #[must_use]
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn scaled(self, share: f64) -> Self {
        Self((f64::from(self.0) * share.clamp(0.0, 1.0)) as u32)
    }
}
