use super::impl_hex_id;

/// Id of one call, unique within its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(u64);

impl_hex_id!(CallId, u64, 16);

impl CallId {
    #[must_use]
    pub const fn from_u64(value: u64) -> Self {
        Self(value)
    }
}
