use {
    super::{AccountLimit, CreditGrant},
    crate::time::TimePoint,
    std::{collections::HashMap, sync::Arc, time::Duration},
};

/// Time after which an unused credit is void.
pub const CREDIT_LIFETIME: Duration = Duration::from_millis(400);
/// Time from the start of a process to its first credit: those of the process before it are void by
/// then.
const START_DELAY: Duration = CREDIT_LIFETIME;
/// Time from the loss of a member to the first credit of the owner that replaces it. The lost member
/// may go on until its own sidecar finds out that it is cut off.
const LOSS_DELAY: Duration = Duration::from_secs(2);
/// Longest time that an account is told to wait for the next credit.
const MAX_WAIT: Duration = Duration::from_millis(400);
/// Part of the credits at hand that one request gets at most, as a divisor.
const MAX_SHARE_DIVISOR: f64 = 4.0;
/// Time without a request after which an account is dropped; its bucket is full by then.
const IDLE_TIME: Duration = Duration::from_secs(60);
/// Number of accounts above which idle ones are dropped.
const MIN_DROP_COUNT: usize = 1_024;

/// Credits of one account at one owner.
#[derive(Clone, Copy, Debug)]
struct CreditBucket {
    level: f64,
    /// Requests for credits that have been refused and are expected again.
    refused: f64,
    filled_at: TimePoint,
}

impl CreditBucket {
    fn fill(&mut self, now: TimePoint, part: AccountLimit) {
        let elapsed = now.since(self.filled_at).as_secs_f64();
        self.refused = (self.refused - part.rate * elapsed).max(0.0);
        self.level = (self.level + part.rate * elapsed).min(capacity(part));
        self.filled_at = self.filled_at.max(now);
    }
}

/// Maximum level of a bucket; below one, no request would ever pass.
fn capacity(part: AccountLimit) -> f64 {
    part.burst.max(1.0)
}

/// Hands out an owner's part of the limits of its accounts.
///
/// A bucket that is new starts empty at the moment from which no other owner can have handed out
/// this part, and is filled from then on: neither restarts nor changes of the owners add to what an
/// account may send.
#[derive(Clone, Debug)]
pub struct CreditLedger {
    buckets: HashMap<Arc<str>, CreditBucket>,
    /// Earliest time from which new buckets are filled.
    fill_from: TimePoint,
}

impl CreditLedger {
    #[must_use]
    pub fn new(now: TimePoint) -> Self {
        Self {
            buckets: HashMap::new(),
            fill_from: now + START_DELAY,
        }
    }

    /// Records that a member was lost, which may have owned accounts that move here; `has_left`
    /// if it announced its end.
    pub fn record_lost_member(&mut self, now: TimePoint, has_left: bool) {
        let delay = if has_left {
            CREDIT_LIFETIME
        } else {
            LOSS_DELAY
        };
        self.fill_from = self.fill_from.max(now + delay);
    }

    /// Drops an account that this member doesn't own any more.
    pub fn remove(&mut self, account: &str) {
        self.buckets.remove(account);
    }

    /// Hands out up to `wanted` credits; `part` is this owner's part of the limit.
    pub fn grant(
        &mut self,
        now: TimePoint,
        account: &Arc<str>,
        part: AccountLimit,
        wanted: u32,
    ) -> CreditGrant {
        if !self.buckets.contains_key(account) {
            if now < self.fill_from {
                return CreditGrant::NotOwner;
            }
            self.drop_idle(now);
            let bucket = CreditBucket {
                level: 0.0,
                refused: 0.0,
                filled_at: self.fill_from,
            };
            self.buckets.insert(account.clone(), bucket);
        }
        let Some(bucket) = self.buckets.get_mut(account) else {
            return CreditGrant::NotOwner;
        };
        bucket.fill(now, part);
        if bucket.level < 1.0 {
            // Those that were refused before come first.
            let wait = (1.0 - bucket.level + bucket.refused) / part.rate;
            let wait = Duration::try_from_secs_f64(wait).unwrap_or(MAX_WAIT);
            if wait < MAX_WAIT {
                bucket.refused += 1.0;
            }
            return CreditGrant::Exhausted(wait.min(MAX_WAIT));
        }
        let most = (bucket.level / MAX_SHARE_DIVISOR).floor().max(1.0);
        let granted = f64::from(wanted).clamp(1.0, most);
        bucket.level -= granted;
        // The value is a whole number within the bounds of `wanted`.
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let granted = granted as u32;
        CreditGrant::Granted(granted)
    }

    fn drop_idle(&mut self, now: TimePoint) {
        if self.buckets.len() >= MIN_DROP_COUNT {
            self.buckets
                .retain(|_, bucket| now.since(bucket.filled_at) < IDLE_TIME);
        }
    }
}
