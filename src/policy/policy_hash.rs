use {super::PolicyDocument, crate::context::impl_hex_id};

/// First 64 bits of the BLAKE3 digest of a policy document.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PolicyHash(u64);

impl_hex_id!(PolicyHash, u64, 16);

impl PolicyHash {
    #[must_use]
    pub const fn from_u64(value: u64) -> Self {
        Self(value)
    }

    #[must_use]
    pub const fn as_u64(self) -> u64 {
        self.0
    }

    /// Hashes the JSON form of the document.
    #[must_use]
    pub fn of(document: &PolicyDocument) -> Self {
        let text = serde_json::to_vec(document).unwrap_or_default();
        let digest = blake3::hash(&text);
        let mut prefix = [0; 8];
        prefix.copy_from_slice(&digest.as_bytes()[..8]);
        Self(u64::from_be_bytes(prefix))
    }
}
