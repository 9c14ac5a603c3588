use {
    crate::{
        accounts::{
            AccountLimit, ConfigProof, CreditLedger, CreditPurse, CreditStep, OwnerReach,
            ProofReport, ProofRule, choose_quota_owners, quota_candidates, quota_owner_count,
        },
        membership::{MemberState, MemberView},
        time::TimePoint,
    },
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
};

/// Maximum number of accounts whose credits are kept; those of others are requested each time.
const MAX_PURSES: usize = 16_384;

/// What a sidecar knows of the client accounts besides the configuration.
#[derive(Debug)]
pub(crate) struct AccountState {
    pub(super) rule: ProofRule,
    proof: Mutex<ConfigProof>,
    ledger: Mutex<CreditLedger>,
    purses: Mutex<HashMap<Arc<str>, CreditPurse>>,
    members: Mutex<QuotaMembers>,
    reach: Mutex<OwnerReach>,
    /// Number of changes of the members.
    generation: AtomicU64,
}

/// What is done next for a request of an account.
#[derive(Clone, Copy, Debug)]
pub(super) struct CreditDecision {
    pub(super) step: CreditStep,
    /// Silent owner to ask meanwhile, and for how many credits.
    pub(super) probe: Option<(SocketAddr, u32)>,
    /// Time for which all owners have been silent.
    pub(super) silent_time: Duration,
}

/// Members that may be quota owners.
#[derive(Debug, Default)]
struct QuotaMembers {
    /// States by mesh address.
    members: HashMap<SocketAddr, MemberState>,
    /// Members that may own accounts.
    candidates: Vec<SocketAddr>,
    /// Whether the other members are known, or that there are none.
    is_known: bool,
}

impl AccountState {
    pub(crate) fn new(rule: ProofRule, now: TimePoint) -> Self {
        Self {
            rule,
            proof: Mutex::default(),
            ledger: Mutex::new(CreditLedger::new(now)),
            purses: Mutex::default(),
            members: Mutex::default(),
            reach: Mutex::default(),
            generation: AtomicU64::new(0),
        }
    }

    pub(super) fn proof(&self) -> MutexGuard<'_, ConfigProof> {
        self.proof.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that the configuration in force was the newest at `instant`.
    pub(crate) fn record_proof(&self, instant: TimePoint) {
        self.proof().record(instant);
    }

    /// Applies what another sidecar, which was asked at `asked_at`, reports of its proof.
    pub(crate) fn merge_proof(&self, version: u64, asked_at: TimePoint, text: &str) {
        if let Some(report) = ProofReport::decode(text) {
            self.proof().merge(version, asked_at, report);
        }
    }

    /// Report of the proof for another sidecar.
    pub(crate) fn proof_report(&self, version: u64, now: TimePoint) -> Option<ProofReport> {
        let age = self.proof().age(now)?;
        Some(ProofReport { version, age })
    }

    pub(crate) fn proof_age(&self, now: TimePoint) -> Option<Duration> {
        self.proof().age(now)
    }

    /// Time until which keys are accepted; `None` if they are refused now.
    pub(crate) fn keys_valid_until(&self, now: TimePoint) -> Option<TimePoint> {
        self.proof().valid_until(&self.rule, now)
    }

    pub(super) fn ledger(&self) -> MutexGuard<'_, CreditLedger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Runs `action` on the credits of an account with this limit.
    pub(super) fn with_purse<R>(
        &self,
        account: &Arc<str>,
        limit: &AccountLimit,
        action: impl FnOnce(&mut CreditPurse) -> R,
    ) -> R {
        let generation = self.generation.load(Ordering::Relaxed);
        let mut purses = self.purses.lock().unwrap_or_else(PoisonError::into_inner);
        if !purses.contains_key(account) && purses.len() >= MAX_PURSES {
            purses.clear();
        }
        let purse = purses.entry(account.clone()).or_default();
        let most_owners = quota_owner_count(limit);
        if purse.generation != generation || purse.most_owners != most_owners {
            let owners = self.quota_owners(account, limit);
            let first = rand::random_range(0..owners.len().max(1));
            purse.set_owners(&owners, first);
            purse.generation = generation;
            purse.most_owners = most_owners;
        }
        action(purse)
    }

    /// Takes a credit of an account with this limit, or tells what to do for one.
    pub(super) fn decide(
        &self,
        now: TimePoint,
        account: &Arc<str>,
        limit: &AccountLimit,
    ) -> CreditDecision {
        self.with_purse(account, limit, |purse| {
            let mut reach = self.reach();
            let step = purse.next_step(now, &reach);
            let probed = reach.start_probe(now, purse.owners());
            let silent_time = reach.silent_time(now, purse.owners());
            CreditDecision {
                step,
                probe: probed.map(|owner| (owner, purse.start_request(now))),
                silent_time: silent_time.unwrap_or_default(),
            }
        })
    }

    pub(super) fn reach(&self) -> MutexGuard<'_, OwnerReach> {
        self.reach.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Lets accounts have owners from now on: the other members are known, or there are none.
    pub(crate) fn set_members_known(&self) {
        self.lock_members().is_known = true;
        self.generation.fetch_add(1, Ordering::Relaxed);
    }

    /// The owners of an account with this limit; it is divided among all of them. None while other
    /// members may exist that are not known.
    pub(super) fn quota_owners(&self, account: &str, limit: &AccountLimit) -> Vec<SocketAddr> {
        let count = quota_owner_count(limit);
        let members = self.lock_members();
        if !members.is_known {
            return Vec::new();
        }
        choose_quota_owners(account, count, members.candidates.iter().copied())
    }

    fn lock_members(&self) -> MutexGuard<'_, QuotaMembers> {
        self.members.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies a membership view. Members that are leaving still own their parts until they are
    /// gone.
    pub(crate) fn update_members(&self, now: TimePoint, view: &MemberView) {
        let current: HashMap<SocketAddr, MemberState> = view
            .members
            .iter()
            .filter(|record| record.state != MemberState::Dead)
            .map(|record| (record.mesh, record.state))
            .collect();
        let mut members = self.lock_members();
        let before = std::mem::replace(&mut members.members, current);
        let lost = before
            .iter()
            .filter(|(address, _)| !members.members.contains_key(address));
        let lost: Vec<MemberState> = lost.map(|(_, state)| *state).collect();
        let has_changed = !lost.is_empty() || before.len() != members.members.len();
        if !has_changed {
            return;
        }
        let addresses: Vec<_> = members.members.keys().copied().collect();
        members.candidates = quota_candidates(&addresses);
        drop(members);
        self.reach().retain(|owner| addresses.contains(owner));
        self.generation.fetch_add(1, Ordering::Relaxed);
        for state in lost {
            let has_left = state == MemberState::Leaving;
            self.ledger().record_lost_member(now, has_left);
        }
    }
}
