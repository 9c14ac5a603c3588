use {blake3::Hasher, rand::RngExt, std::fmt};

/// Length of a key digest, in bytes.
const DIGEST_BYTES: usize = 16;

/// Keyed hash of the key of an account. It is valid in one process only and never leaves it.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) struct KeyDigest([u8; DIGEST_BYTES]);

impl fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeyDigest")
    }
}

/// Hashes the keys of accounts with a secret of this process.
///
/// Tables are searched by the hash, so the time of a search tells nothing about the keys in them.
#[derive(Clone)]
pub struct KeyHasher([u8; blake3::KEY_LEN]);

impl KeyHasher {
    /// Creates a hasher with a new secret.
    #[must_use]
    pub fn random() -> Self {
        Self(rand::rng().random())
    }

    pub(crate) fn digest(&self, key: &[u8]) -> KeyDigest {
        let mut digest = [0; DIGEST_BYTES];
        Hasher::new_keyed(&self.0)
            .update(key)
            .finalize_xof()
            .fill(&mut digest);
        KeyDigest(digest)
    }
}

impl fmt::Debug for KeyHasher {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeyHasher")
    }
}
