use {
    super::{CREDIT_LIFETIME, CreditGrant, OwnerReach, owner_credit::OwnerCredit},
    crate::time::{TimePoint, decay_factor},
    std::{net::SocketAddr, time::Duration},
};

/// Time constant of the moving average of the requests.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_secs(4);
/// Time for which credits are requested in advance, in seconds at the present demand. Those that are
/// not used are lost to the account.
const ADVANCE_SECONDS: f64 = 0.1;
const MAX_ADVANCE: f64 = 64.0;
/// Time for which an owner is not asked again after it has not responded.
const UNREACHABLE_TIME: Duration = Duration::from_millis(200);

/// What an ingress sidecar does next for a request of an account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CreditStep {
    /// A credit has been taken, which is void from this time on.
    Pass { expires_at: TimePoint },
    /// Ask this owner for so many credits.
    Ask { owner: SocketAddr, wanted: u32 },
    /// The limit is reached; the next credit is due after this time.
    LimitReached(Duration),
    /// No owner can be asked now.
    NoOwner,
}

/// Credits of one account at one ingress sidecar.
#[derive(Clone, Debug, Default)]
pub struct CreditPurse {
    /// Credits at hand.
    credits: u32,
    /// End of their lifetime.
    expires_at: TimePoint,
    /// Credits that have been requested and not answered, and when the last were.
    pending: u32,
    pending_since: TimePoint,
    /// Moving average of the requests, as their number in one time constant.
    demand: f64,
    demand_updated_at: TimePoint,
    owners: Vec<OwnerCredit>,
    /// Owner that is asked first.
    next_owner: usize,
    /// Generation of the members from which the owners were chosen.
    pub(crate) generation: u64,
    /// Number of owners that the limit allows.
    pub(crate) most_owners: usize,
}

impl CreditPurse {
    /// Sets the owners, most preferred first; what is known of those that remain is kept.
    pub fn set_owners(&mut self, owners: &[SocketAddr], first: usize) {
        let known = std::mem::take(&mut self.owners);
        let owner = |address: &SocketAddr| {
            let known = known.iter().find(|owner| owner.address == *address);
            known.copied().unwrap_or(OwnerCredit {
                address: *address,
                retry_at: TimePoint::ORIGIN,
                is_exhausted: false,
            })
        };
        self.owners = owners.iter().map(owner).collect();
        self.next_owner = first;
    }

    /// Counts a request towards the demand.
    pub fn record_request(&mut self, now: TimePoint) {
        let elapsed = now.since(self.demand_updated_at).as_secs_f64();
        self.demand = self.demand * decay_factor(elapsed, DEMAND_TIME_CONSTANT) + 1.0;
        self.demand_updated_at = now;
    }

    /// Addresses of the owners.
    pub fn owners(&self) -> impl Iterator<Item = SocketAddr> {
        self.owners.iter().map(|owner| owner.address)
    }

    /// Takes a credit, or tells which owner to ask for one. Owners that are silent are not asked.
    pub fn next_step(&mut self, now: TimePoint, reach: &OwnerReach) -> CreditStep {
        if now >= self.expires_at {
            self.credits = 0;
        }
        if self.credits > 0 {
            self.credits -= 1;
            return CreditStep::Pass {
                expires_at: self.expires_at,
            };
        }
        let count = self.owners.len();
        let order = (0..count).map(|offset| (self.next_owner + offset) % count);
        let is_available = |index: &usize| {
            let owner = &self.owners[*index];
            owner.retry_at <= now && !reach.is_silent(owner.address)
        };
        if let Some(index) = order.clone().find(is_available) {
            self.next_owner = index;
            return CreditStep::Ask {
                owner: self.owners[index].address,
                wanted: self.start_request(now),
            };
        }
        let exhausted = self.owners.iter().filter(|owner| owner.is_exhausted);
        let first = exhausted.map(|owner| owner.retry_at).min();
        first.map_or(CreditStep::NoOwner, |retry_at| {
            CreditStep::LimitReached(now.until(retry_at))
        })
    }

    /// Number of credits to request from an owner that is asked now.
    pub fn start_request(&mut self, now: TimePoint) -> u32 {
        if now.since(self.pending_since) >= CREDIT_LIFETIME {
            self.pending = 0;
        }
        let wanted = 1 + self.advance();
        self.pending += wanted;
        self.pending_since = now;
        wanted
    }

    /// Credits to request beyond the one that is needed.
    fn advance(&self) -> u32 {
        let demand = self.demand / DEMAND_TIME_CONSTANT.as_secs_f64();
        let advance = (demand * ADVANCE_SECONDS).min(MAX_ADVANCE);
        // The value is small and not negative.
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let advance = advance as u32;
        advance.saturating_sub(self.pending)
    }

    /// Records the answer to a request for `wanted` credits that was sent at `asked_at`; `None` if
    /// there was none.
    pub fn record_answer(
        &mut self,
        now: TimePoint,
        asked_at: TimePoint,
        owner: SocketAddr,
        wanted: u32,
        answer: Option<CreditGrant>,
    ) {
        self.pending = self.pending.saturating_sub(wanted);
        let (retry_at, is_exhausted) = match answer {
            Some(CreditGrant::Granted(granted)) => {
                self.add(now, asked_at, granted);
                return;
            }
            Some(CreditGrant::Exhausted(wait)) => (now + wait, true),
            Some(CreditGrant::NotOwner) | None => (now + UNREACHABLE_TIME, false),
        };
        let mut owners = self.owners.iter_mut();
        if let Some(owner) = owners.find(|known| known.address == owner) {
            owner.retry_at = retry_at;
            owner.is_exhausted = is_exhausted;
        }
    }

    /// Adds credits whose lifetime began at `asked_at`. Those at hand keep the earlier end.
    fn add(&mut self, now: TimePoint, asked_at: TimePoint, granted: u32) {
        self.add_until(now, asked_at + CREDIT_LIFETIME, granted);
    }

    fn add_until(&mut self, now: TimePoint, end: TimePoint, granted: u32) {
        if now >= end {
            return;
        }
        let has_credits = self.credits > 0 && now < self.expires_at;
        if !has_credits {
            self.credits = 0;
        }
        self.expires_at = if has_credits {
            self.expires_at.min(end)
        } else {
            end
        };
        self.credits += granted;
    }

    /// Returns the credit of a request that has not run.
    pub fn put_back(&mut self, now: TimePoint, expires_at: TimePoint) {
        self.add_until(now, expires_at, 1);
    }
}
