use {
    super::{IdError, impl_hex_id},
    rapidhash::v3::rapidhash_v3,
    std::str::FromStr,
};

/// Id of one user request, the same at every hop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(u128);

impl_hex_id!(RequestId, u128, 32);

impl RequestId {
    #[must_use]
    pub const fn from_u128(value: u128) -> Self {
        Self(value)
    }

    #[must_use]
    pub const fn as_u128(self) -> u128 {
        self.0
    }

    /// Hash that orders the requests of one class for shedding; lower values are shed first.
    #[must_use]
    pub fn shedding_hash(self) -> u16 {
        let hash = rapidhash_v3(&self.0.to_le_bytes());
        (hash >> 48) as u16
    }
}

impl FromStr for RequestId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        Self::parse(text).ok_or(IdError::new::<Self>())
    }
}
