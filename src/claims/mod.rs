//! Claims that run each non-idempotent call at most once.
//!
//! Before a guard (the daemon beside a target) dispatches such a call, it claims the call's
//! idempotency key. It inserts a row into the table service if there is none, and only the daemon
//! whose write created the row may dispatch the call, once. [`ClaimService`] implements this for one daemon with these parts:
//!
//! - [`ClaimLedger`] holds the keys that were claimed here: the calls that run, the recorded
//!   responses for retries, and the abandoned attempts.
//! - [`ClaimAttempt`] runs one attempt to its outcome, even if requests or replies are lost.
//! - [`BatcherRanking`] selects for each service the daemon that commits the claims of all its
//!   guards. [`CommitQueue`] and [`BatchProgress`] commit them in consecutive transactions.
//! - [`TableBreaker`] refuses claims without delay while the table service is unavailable.
//! - [`ExpirySweep`] finds the rows whose retry window has passed.
//!
//! These parts do no I/O; the actors and tasks of the service do it. Rows and queries are sent to
//! other daemons through a [`ClaimTransport`].

mod batch_progress;
mod batcher_member;
mod batcher_ranking;
mod call_fingerprint;
mod claim_attempt;
mod claim_decision;
mod claim_driver;
mod claim_key;
mod claim_ledger;
mod claim_limits;
mod claim_record;
mod claim_request;
mod claim_row;
mod claim_service;
mod claim_token;
mod claim_transport;
mod commit_actor;
mod commit_queue;
mod expiry_sweep;
mod holder_query;
mod idempotency_key;
mod joined_call;
mod ledger_entry;
mod recorded_response;
mod response_text;
mod row_committer;
mod row_update;
mod shared_ledger;
mod sweep_actor;
mod table_breaker;
mod write_id;

pub use {
    batch_progress::{BatchProgress, BatchStep},
    batcher_member::BatcherMember,
    batcher_ranking::BatcherRanking,
    call_fingerprint::{CallFingerprint, FingerprintError},
    claim_attempt::{AttemptOutcome, AttemptStep, ClaimAttempt, CommitLocation, MAX_BATCHERS},
    claim_decision::{ClaimDecision, JoinedOutcome, UnknownCause},
    claim_key::{ClaimKey, row_prefix},
    claim_ledger::{AttemptStatus, ClaimLedger, EntryKey, LedgerDecision, NewEntry},
    claim_limits::ClaimLimits,
    claim_record::{ClaimRecord, HeldClaim},
    claim_request::ClaimRequest,
    claim_row::{
        CLAIMS_TABLE, ClaimRow, ClaimRowResult, MAX_ROW_TEXT_BYTES, RowChange, RowOutcome,
    },
    claim_service::{ClaimIdentity, ClaimService},
    claim_token::{ClaimToken, RunningClaim},
    claim_transport::{
        ClaimTransport, CommitReply, CommitRequest, MAX_MESSAGE_BYTES, MAX_REQUEST_ROWS,
        TransportError,
    },
    commit_queue::{CommitQueue, QueueStep, QueuedRow},
    expiry_sweep::ExpirySweep,
    holder_query::{HolderQuery, HolderReply},
    idempotency_key::{IDEMPOTENCY_KEY_HEADER, IdempotencyKey, KeyError, MAX_KEY_BYTES},
    joined_call::JoinedCall,
    recorded_response::{RecordedHeader, RecordedResponse},
    response_text::{HeaderText, ResponseText},
    table_breaker::TableBreaker,
    write_id::WriteId,
};
