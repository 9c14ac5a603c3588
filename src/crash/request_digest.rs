use {
    blake3::Hasher,
    serde::{Deserialize, Serialize},
    std::{fmt, net::SocketAddr, str::FromStr},
    thiserror::Error,
};

/// Length of a request digest, in bytes.
const DIGEST_BYTES: usize = 16;
/// Context of the key derivation.
const KEY_CONTEXT: &str = "banyantrestle 2026 request digests of a deployment";

/// The parts of a request by which its repetitions are recognized.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestView<'a> {
    pub method: &'a str,
    /// Host without the port.
    pub host: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// Service of the target that makes the request, or client account.
    pub caller: &'a str,
    pub body: &'a [u8],
}

/// Keyed hash of a request; equal requests of one caller have equal digests.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestDigest([u8; DIGEST_BYTES]);

/// Identity of one process of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ProcessDigest(pub u64);

/// Key of the digests of one deployment, without which callers can't construct collisions.
#[derive(Clone)]
pub struct DigestKey([u8; 32]);

/// Text that is not a request digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("a request digest has {} hexadecimal digits", 2 * DIGEST_BYTES)]
pub struct InvalidDigest;

impl DigestKey {
    /// Derives the key from a text that the daemons of the deployment share.
    #[must_use]
    pub fn derive(deployment: &str) -> Self {
        Self(blake3::derive_key(KEY_CONTEXT, deployment.as_bytes()))
    }

    #[must_use]
    pub fn request(&self, view: &RequestView<'_>) -> RequestDigest {
        let mut hasher = Hasher::new_keyed(&self.0);
        for part in [view.method, view.path, view.caller] {
            update_with_length(&mut hasher, part.as_bytes());
        }
        update_with_length(&mut hasher, view.host.to_ascii_lowercase().as_bytes());
        update_with_length(&mut hasher, view.body);
        let mut digest = [0; DIGEST_BYTES];
        hasher.finalize_xof().fill(&mut digest);
        RequestDigest(digest)
    }

    /// Digest of the target process that started at `started_ms` beside the daemon at `daemon`.
    #[must_use]
    pub fn process(&self, daemon: SocketAddr, instance: &str, started_ms: u64) -> ProcessDigest {
        let mut hasher = Hasher::new_keyed(&self.0);
        update_with_length(&mut hasher, daemon.to_string().as_bytes());
        update_with_length(&mut hasher, instance.as_bytes());
        hasher.update(&started_ms.to_le_bytes());
        let mut digest = [0; 8];
        hasher.finalize_xof().fill(&mut digest);
        ProcessDigest(u64::from_le_bytes(digest))
    }
}

/// Adds a part with its length, so that the boundary between two parts counts.
fn update_with_length(hasher: &mut Hasher, part: &[u8]) {
    hasher.update(&part.len().to_le_bytes());
    hasher.update(part);
}

impl fmt::Debug for DigestKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("DigestKey")
    }
}

impl RequestDigest {
    /// The first eight bytes, for tables that tolerate collisions.
    pub(crate) fn prefix(self) -> u64 {
        let [first, ..] = self.0.as_chunks::<8>().0 else {
            return 0;
        };
        u64::from_le_bytes(*first)
    }
}

impl fmt::Display for RequestDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut bytes = self.0.iter();
        bytes.try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

impl fmt::Debug for RequestDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, formatter)
    }
}

impl FromStr for RequestDigest {
    type Err = InvalidDigest;

    fn from_str(text: &str) -> Result<Self, InvalidDigest> {
        if text.len() != 2 * DIGEST_BYTES || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Err(InvalidDigest);
        }
        let number = u128::from_str_radix(text, 16).map_err(|_| InvalidDigest)?;
        Ok(Self(number.to_be_bytes()))
    }
}
