use {
    http::{HeaderMap, header::AUTHORIZATION},
    std::fmt,
    subtle::ConstantTimeEq,
};

const BEARER_PREFIX: &str = "bearer ";

/// Token that authorizes console writes; it is compared in constant time and never printed.
#[derive(Clone)]
pub struct AdminToken([u8; 32]);

impl AdminToken {
    #[must_use]
    pub fn new(token: &str) -> Self {
        Self(hash_token(token))
    }

    /// Compares hashes of equal length in constant time, so that the duration reveals neither the
    /// content nor the length of the token.
    #[must_use]
    pub fn is_match(&self, token: &str) -> bool {
        self.0.ct_eq(&hash_token(token)).into()
    }

    /// Whether an `Authorization: Bearer` header holds the token.
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
