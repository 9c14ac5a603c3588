use {
    blake3::{Hash, Hasher},
    serde::{Deserialize, Serialize},
    std::fmt,
    thiserror::Error,
};

/// Error for a text that is not 64 hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("call fingerprint is not 64 hexadecimal digits")]
pub struct FingerprintError;

/// Digest of the method, path and body of a call. Retries of a call have the same digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct CallFingerprint([u8; 32]);

impl CallFingerprint {
    #[must_use]
    pub fn of(method: &str, path: &str, body: &[u8]) -> Self {
        let mut hasher = Hasher::new();
        for part in [method.as_bytes(), path.as_bytes(), body] {
            hasher.update(&part.len().to_le_bytes());
            hasher.update(part);
        }
        Self(hasher.finalize().into())
    }
}

impl TryFrom<String> for CallFingerprint {
    type Error = FingerprintError;

    fn try_from(text: String) -> Result<Self, FingerprintError> {
        let hash = Hash::from_hex(text).map_err(|_| FingerprintError)?;
        Ok(Self(hash.into()))
    }
}

impl From<CallFingerprint> for String {
    fn from(fingerprint: CallFingerprint) -> Self {
        fingerprint.to_string()
    }
}

impl fmt::Display for CallFingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&Hash::from_bytes(self.0).to_hex())
    }
}
