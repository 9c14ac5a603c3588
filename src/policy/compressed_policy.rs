use {
    super::{MAX_POLICY_ROW_BYTES, VersionedPolicy},
    flate2::{Compression, bufread::DeflateDecoder, write::DeflateEncoder},
    serde::{Deserialize, Serialize},
    std::io::{self, Read, Write},
    thiserror::Error,
};

/// Maximum size of a compressed policy that is decompressed, in bytes.
pub const MAX_COMPRESSED_POLICY_BYTES: usize = 512 * 1024;

/// A policy as daemons send it to each other: JSON compressed with DEFLATE.
///
/// Routes repeat the same few names, so the compressed size is far less than half.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompressedPolicy(Vec<u8>);

/// Why a policy could not be compressed or decompressed.
#[derive(Debug, Error)]
pub enum CompressionError {
    #[error("larger than the limit of {0} bytes")]
    TooLong(usize),
    #[error("invalid DEFLATE data: {0}")]
    Deflate(#[from] io::Error),
    #[error("invalid policy JSON: {0}")]
    Json(#[from] serde_json::Error),
}

impl CompressedPolicy {
    /// Serializes and compresses a policy.
    ///
    /// # Errors
    /// The policy cannot be serialized as JSON.
    pub fn compress(policy: &VersionedPolicy) -> Result<Self, CompressionError> {
        let text = serde_json::to_vec(policy)?;
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::default());
        encoder.write_all(&text)?;
        Ok(Self(encoder.finish()?))
    }

    /// Wraps bytes received from another process; [`decompress`](Self::decompress) validates them.
    #[must_use]
    pub const fn from_bytes(bytes: Vec<u8>) -> Self {
        Self(bytes)
    }

    #[must_use]
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }

    /// Returns the policy; its values are not yet validated.
    ///
    /// # Errors
    /// The compressed or decompressed size exceeds its limit, or the data is not a policy.
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
