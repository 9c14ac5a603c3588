use {
    blake3::Hasher,
    std::fmt,
    subtle::{Choice, ConstantTimeEq},
};

/// Length of an authentication tag in bytes.
pub const TAG_BYTES: usize = 16;

/// Context of the key derivation; daemons with different contexts reject each other's tags.
const KEY_CONTEXT: &str = "banyantrestle 2026 shared key of a deployment";

/// Key shared by the daemons of one deployment, which authenticates their messages.
#[derive(Clone)]
pub struct SharedKey([u8; 32]);

impl SharedKey {
    /// Derives the key from the secret in the settings.
    #[must_use]
    pub fn derive(secret: &str) -> Self {
        Self(blake3::derive_key(KEY_CONTEXT, secret.as_bytes()))
    }

    /// Computes the tag of a message. The tag is valid for one `purpose` only, so that a message
    /// can't be replayed on another channel.
    #[must_use]
    pub fn tag(&self, purpose: &str, message: &[u8]) -> [u8; TAG_BYTES] {
        let mut hasher = Hasher::new_keyed(&self.0);
        hasher.update(&purpose.len().to_le_bytes());
        hasher.update(purpose.as_bytes());
        hasher.update(message);
        let mut tag = [0; TAG_BYTES];
        hasher.finalize_xof().fill(&mut tag);
        tag
    }

    /// Verifies a tag in constant time.
    #[must_use]
    pub fn is_valid_tag(&self, purpose: &str, message: &[u8], tag: &[u8]) -> bool {
        let expected = self.tag(purpose, message);
        let is_equal: Choice = expected.as_slice().ct_eq(tag);
        is_equal.into()
    }
}

impl fmt::Debug for SharedKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("SharedKey")
    }
}
