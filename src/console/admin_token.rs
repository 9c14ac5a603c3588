use {
    http::{HeaderMap, header::AUTHORIZATION},
    std::fmt,
    subtle::ConstantTimeEq,
};

const BEARER_PREFIX: &str = "bearer ";

/// The token that console writes require; compared in constant time and never shown.
#[derive(Clone)]
pub struct AdminToken([u8; 32]);

impl AdminToken {
    #[must_use]
    pub fn new(token: &str) -> Self {
        Self(hash_token(token))
    }

    /// Compares digests of one length, so that the time tells neither content nor length.
    #[must_use]
    pub fn is_match(&self, token: &str) -> bool {
        self.0.ct_eq(&hash_token(token)).into()
    }

    /// Looks for the token in an `Authorization: Bearer` header.
    #[must_use]
    pub fn is_in_headers(&self, headers: &HeaderMap) -> bool {
        let value = headers.get(AUTHORIZATION);
        let value = value.and_then(|value| value.to_str().ok());
        value
            .and_then(bearer_token)
            .is_some_and(|token| self.is_match(token))
    }
}

impl fmt::Debug for AdminToken {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("AdminToken")
    }
}

fn hash_token(token: &str) -> [u8; 32] {
    *blake3::hash(token.as_bytes()).as_bytes()
}

fn bearer_token(value: &str) -> Option<&str> {
    let (scheme, token) = value.split_at_checked(BEARER_PREFIX.len())?;
    scheme
        .eq_ignore_ascii_case(BEARER_PREFIX)
        .then(|| token.trim())
}
