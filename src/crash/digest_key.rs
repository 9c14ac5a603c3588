use {
    super::{ProcessDigest, RequestDigest, RequestView, request_digest::DIGEST_BYTES},
    blake3::Hasher,
    std::{fmt, net::SocketAddr},
};

/// Context of the key derivation.
const KEY_CONTEXT: &str = "banyantrestle 2026 request digests of a deployment";

/// Key of the digests of one deployment, without which callers can't construct collisions.
#[derive(Clone)]
pub struct DigestKey([u8; 32]);

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
        let body_length: usize = view.body.iter().map(|part| part.len()).sum();
        hasher.update(&body_length.to_le_bytes());
        for part in view.body {
            hasher.update(part);
        }
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
