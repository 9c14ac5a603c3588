use {
    super::{MAX_POLICY_ROW_BYTES, VersionedPolicy},
    flate2::{Compression, bufread::DeflateDecoder, write::DeflateEncoder},
    serde::{Deserialize, Serialize},
    std::io::{self, Read, Write},
    thiserror::Error,
};

/// Bytes of the longest packed policy that is read.
pub const MAX_COMPRESSED_POLICY_BYTES: usize = 512 * 1024;

/// A policy as daemons send it to each other: JSON, compressed.
///
/// Documents repeat the same few names in each route, so they shrink by far more than half.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompressedPolicy(Vec<u8>);

/// Why a packed policy was not read.
#[derive(Debug, Error)]
pub enum CompressionError {
    #[error("over the bound of {0} bytes")]
    TooLong(usize),
    #[error("not compressed data: {0}")]
    Deflate(#[from] io::Error),
    #[error("not a policy: {0}")]
    Json(#[from] serde_json::Error),
}

impl CompressedPolicy {
    /// # Errors
    /// The policy has no JSON form.
    pub fn compress(policy: &VersionedPolicy) -> Result<Self, CompressionError> {
        let text = serde_json::to_vec(policy)?;
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::default());
        encoder.write_all(&text)?;
        Ok(Self(encoder.finish()?))
    }

    /// Takes bytes that another process sent.
    #[must_use]
    pub const fn from_bytes(bytes: Vec<u8>) -> Self {
        Self(bytes)
    }

    #[must_use]
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }

    /// The policy; its values are still to be checked.
    ///
    /// # Errors
    /// The bytes are out of their bounds, packed or unpacked, or are no policy.
    pub fn decompress(&self) -> Result<VersionedPolicy, CompressionError> {
        if self.0.len() > MAX_COMPRESSED_POLICY_BYTES {
            return Err(CompressionError::TooLong(MAX_COMPRESSED_POLICY_BYTES));
        }
        let limit = u64::try_from(MAX_POLICY_ROW_BYTES).unwrap_or(u64::MAX);
        let mut text = Vec::new();
        DeflateDecoder::new(self.0.as_slice())
            .take(limit.saturating_add(1))
            .read_to_end(&mut text)?;
        if text.len() > MAX_POLICY_ROW_BYTES {
            return Err(CompressionError::TooLong(MAX_POLICY_ROW_BYTES));
        }
        Ok(serde_json::from_slice(&text)?)
    }
}
