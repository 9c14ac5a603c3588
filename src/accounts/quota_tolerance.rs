use {super::AccountLimit, std::time::Duration};

/// Share of the slack that is added to the burst of an account; the rest covers credits that are
/// out while quota owners change.
const BURST_SHARE: f64 = 0.5;

/// How far the requests of an account may exceed its limit in a window of time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaTolerance {
    pub window: Duration,
    /// As a share of what the limit allows in the window.
    pub overage: f64,
    /// Number of requests.
    pub slack: f64,
}

impl Default for QuotaTolerance {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(5),
            overage: 0.0,
            slack: 0.0,
        }
    }
}

impl QuotaTolerance {
    /// Most requests that an account may send in one window.
    #[must_use]
    pub fn bound(&self, limit: AccountLimit) -> f64 {
        let allowed = limit.rate * self.window.as_secs_f64() + limit.burst;
        allowed * (1.0 + self.overage) + self.slack
    }

    /// The limit that is handed out by `owners` quota owners together. Its burst includes a part of
    /// the slack, so that dividing it refuses nothing that the account may send.
    #[must_use]
    pub fn divide(&self, limit: AccountLimit, owners: usize) -> AccountLimit {
        // The cast is exact: there are few owners.
        #[expect(clippy::cast_precision_loss)]
        let owners = owners as f64;
        AccountLimit {
            rate: limit.rate / owners,
            burst: (limit.burst + self.slack * BURST_SHARE) / owners,
        }
    }
}
