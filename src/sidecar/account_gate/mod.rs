//! Client accounts at one sidecar: checks the keys of callers, takes credits for their requests, and
//! keeps the proof that the configuration is new enough for both.
//!
//! The rules are in [`crate::accounts`]; this module asks the store and other sidecars for what the
//! rules need.

mod account_admission;
mod account_state;
mod credit_exchange;
mod proof_exchange;
mod quota_refusal;

pub(crate) use {
    account_admission::{AccountRefusal, RequestAccount, check_credential},
    account_state::AccountState,
    credit_exchange::{CREDITS_PATH, TakenCredit, serve_credits, take_credit},
    proof_exchange::{PROOF_HEADER, PROOF_PATH, keep_proof, serve_proof},
    quota_refusal::QuotaRefusal,
};
