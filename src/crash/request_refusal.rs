use {
    super::as_millis,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Time for which a request is refused after its first refusal; it doubles with each further one.
pub const FIRST_REFUSAL_TIME: Duration = Duration::from_secs(3_600);
/// Bound of that time.
pub const MAX_REFUSAL_TIME: Duration = Duration::from_secs(24 * 3_600);
/// Number of doublings from which the bound applies in any case.
const MAX_DOUBLINGS: u32 = 16;

/// Refusal of a request that has crashed its targets; times are in milliseconds since the Unix
/// epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestRefusal {
    /// Number of count so far.
    pub count: u32,
    pub since_ms: u64,
    pub until_ms: u64,
}

impl RequestRefusal {
    pub(super) fn new(count: u32, since_ms: u64) -> Self {
        let mut refusal = Self {
            count,
            since_ms,
            until_ms: 0,
        };
        refusal.until_ms = since_ms + refusal.hold_ms();
        refusal
    }

    /// Length of the refusal, in ms.
    pub(super) fn hold_ms(&self) -> u64 {
        let doublings = self.count.saturating_sub(1).min(MAX_DOUBLINGS);
        as_millis(MAX_REFUSAL_TIME.min(FIRST_REFUSAL_TIME * 2_u32.pow(doublings)))
    }
}
