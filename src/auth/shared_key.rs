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
pub struct SharedKey {
    current: [u8; 32],
    older: Option<[u8; 32]>,
}

/// Which key a daemon authenticates its messages with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyGeneration {
    Current,
    /// The key of older builds.
    Older,
}

impl SharedKey {
    /// Derives the key from the secret in the settings.
    #[must_use]
    pub fn derive(secret: &str) -> Self {
        Self {
            current: derive_bytes(secret),
            older: None,
        }
    }

    /// Adds the key that older builds of the same deployment derive.
    #[must_use]
    pub fn with_older(self, secret: &str) -> Self {
        Self {
            older: Some(derive_bytes(secret)),
            ..self
        }
    }

    /// The keys that a daemon may have.
    #[must_use]
    pub const fn generations(&self) -> &'static [KeyGeneration] {
        match self.older {
            Some(_) => &[KeyGeneration::Current, KeyGeneration::Older],
            None => &[KeyGeneration::Current],
        }
    }

    /// Computes the tag of a message. The tag is valid for one `purpose` only, so that a message
    /// can't be replayed on another channel.
    #[must_use]
    pub fn tag(&self, purpose: &str, message: &[u8]) -> [u8; TAG_BYTES] {
        self.tag_with(KeyGeneration::Current, purpose, message)
    }

    /// Like [`Self::tag`], for a daemon that may have the older key only.
    #[must_use]
    pub fn tag_with(
        &self,
        generation: KeyGeneration,
        purpose: &str,
        message: &[u8],
    ) -> [u8; TAG_BYTES] {
        let key = match generation {
            KeyGeneration::Current => &self.current,
            KeyGeneration::Older => self.older.as_ref().unwrap_or(&self.current),
        };
        let mut hasher = Hasher::new_keyed(key);
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
        self.verify(purpose, message, tag).is_some()
    }

    /// The key that a tag was made with, if it is valid.
    #[must_use]
    pub fn verify(&self, purpose: &str, message: &[u8], tag: &[u8]) -> Option<KeyGeneration> {
        let mut generations = self.generations().iter().copied();
        generations.find(|&generation| {
            let expected = self.tag_with(generation, purpose, message);
            let is_equal: Choice = expected.as_slice().ct_eq(tag);
            is_equal.into()
        })
    }
}

fn derive_bytes(secret: &str) -> [u8; 32] {
    blake3::derive_key(KEY_CONTEXT, secret.as_bytes())
}

impl fmt::Debug for SharedKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("SharedKey")
    }
}
