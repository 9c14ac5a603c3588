//! Client accounts: who may send requests, how much, and how this is known at each sidecar.
//!
//! The operator's configuration lists the accounts with their keys ([`AccountTable`]). A caller
//! sends a key with each request; the ingress sidecar finds the account and sends its name on, never
//! the key.
//!
//! A key that the operator has removed must stop working everywhere within a bound. So a sidecar
//! accepts keys only while it can prove that its configuration was recently the newest one
//! ([`ConfigProof`]).
//!
//! The limit of an account holds for all sidecars together. Each account has a few members as
//! quota owners ([`choose_quota_owners`]). Each owner hands out an equal part of the limit as
//! credits ([`CreditLedger`]); an ingress sidecar takes one credit for each request
//! ([`CreditPurse`]).
//!
//! Nothing here reads a clock or uses a socket.

mod account_limit;
mod account_rule;
mod account_table;
mod config_proof;
mod credit_grant;
mod credit_ledger;
mod credit_purse;
mod key_hasher;
mod owner_credit;
mod owner_reach;
mod proof_schedule;
mod quota_owners;
mod quota_tolerance;
mod store_clock;

pub(crate) use key_hasher::KeyDigest;
pub use {
    account_limit::AccountLimit,
    account_rule::AccountRule,
    account_table::{AccountTable, InvalidAccounts},
    config_proof::{ConfigProof, ProofReport, ProofRule},
    credit_grant::CreditGrant,
    credit_ledger::{CREDIT_LIFETIME, CreditLedger},
    credit_purse::{CreditPurse, CreditStep},
    key_hasher::KeyHasher,
    owner_reach::OwnerReach,
    proof_schedule::{ProofSchedule, ProofStep},
    quota_owners::{choose_quota_owners, quota_candidates, quota_owner_count},
    quota_tolerance::QuotaTolerance,
    store_clock::StoreClock,
};
